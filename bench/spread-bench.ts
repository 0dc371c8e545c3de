/**
 * Measures distribution: `npm run bench -- spread [scale|view|sockets] [proxies…]`.
 *
 * Every table holds the naive star and both policies from the same run.
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

const [what = 'scale', ...sizes] = process.argv.slice(2);
const counts = sizes.map(Number);

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

switch (what) {
  case 'scale':
    console.log(SCALE_HEAD);
    for (const proxies of counts) runScale(proxies);
    break;
  case 'view':
    console.log(VIEW_HEAD);
    for (const members of counts) console.log(reportView(members));
    break;
  case 'sockets':
    console.log(SOCKETS_HEAD);
    for (const proxies of counts) await runSockets(proxies);
    break;
  default:
    console.error('name one of: scale, view, sockets; then the numbers of proxies');
    process.exitCode = 2;
}
