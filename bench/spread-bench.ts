/**
 * Measures distribution: `npm run bench -- spread [scale|view|sockets] [proxies…]`.
 *
 * The tables of `scale` and `sockets` compare the naive star with both policies in one run.
 */
import {
  formatScale,
  measureScale,
  measureStar,
  reportView,
  SCALE_HEAD,
  VIEW_HEAD,
} from './distribution-scale.js';
import { reportSockets, SOCKETS_HEAD } from './distribution-sockets.js';

const SCALE_VERSIONS = 5;
const SOCKET_VERSIONS = 10;
const POLICIES = ['convergence-time', 'control-bytes'] as const;

const [measurement = 'scale', ...sizes] = process.argv.slice(2);
const sizesToMeasure = sizes.map(Number);

function runScale(proxies: number): void {
  console.log(formatScale(measureStar(proxies, SCALE_VERSIONS)));
  for (const policy of POLICIES) {
    console.log(formatScale(measureScale(proxies, policy, SCALE_VERSIONS)));
  }
}

async function runSockets(proxies: number): Promise<void> {
  for (const policy of ['star', ...POLICIES] as const) {
    console.log(await reportSockets(proxies, policy, SOCKET_VERSIONS));
  }
}

switch (measurement) {
  case 'scale':
    console.log(SCALE_HEAD);
    for (const proxies of sizesToMeasure) runScale(proxies);
    break;
  case 'view':
    console.log(VIEW_HEAD);
    for (const members of sizesToMeasure) console.log(reportView(members));
    break;
  case 'sockets':
    console.log(SOCKETS_HEAD);
    for (const proxies of sizesToMeasure) await runSockets(proxies);
    break;
  default:
    console.error('usage: scale, view or sockets, followed by the numbers of proxies');
    process.exitCode = 2;
}
