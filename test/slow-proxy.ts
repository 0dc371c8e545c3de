/**
 * A proxy process with a fixed busy time per call and per event loop turn, independent of the machine. Its argument
 * is a {@link SlowProxyPlan} as JSON. It sends its addresses to the parent process when it accepts calls, receives
 * the minimum duration of a turn in milliseconds as a message, and exits when the parent process does.
 */
import type { IncomingMessage } from 'node:http';
import { findFreeAddress } from '../bench/mesh.js';
import type { Result } from '../src/errors.js';
import type { HeadFault, ParsedCallHead } from '../src/edge/call-headers.js';
import { DefaultCallFront } from '../src/edge/index.js';
import type { Address, CallId, Incarnation, Instant } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeServer, makeConfiguration } from './call-resources.js';

/** Parameters of a slow proxy. */
export interface SlowProxyPlan {
  /** Busy time for the head of each call. */
  readonly headMs: number;
  /** The backend server; without it, every call is refused. */
  readonly server?: Address;
}

/** The listen addresses of a slow proxy for callers and for other proxies. */
export interface SlowProxyAddresses {
  readonly calls: Address;
  readonly forwards: Address;
}

class SlowFront extends DefaultCallFront {
  readonly #headMs: number;

  constructor(headMs: number) {
    super();
    this.#headMs = headMs;
  }

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<ParsedCallHead, HeadFault> {
    keepBusy(this.#headMs);
    return super.parseHead(request, id, now);
  }
}

function keepBusy(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

function prolongTurns(turnMs: number): void {
  keepBusy(turnMs);
  setImmediate(prolongTurns, turnMs);
}

const { headMs, server } = JSON.parse(process.argv[2] ?? '') as SlowProxyPlan;
const configuration = makeConfiguration(makeKind('browse'), makeRoute('/shop', 'browse'));
const forwards = (await findFreeAddress()) as Address;
const mesh = await CallMesh.start({
  configuration,
  answers: [undefined],
  front: new SlowFront(headMs),
  secondAddress: forwards,
});
const { task, calls, member } = mesh.at(0);
if (server !== undefined) {
  const incarnation = 2 as Incarnation;
  const servers = [makeServer(server)];
  task.post({ kind: 'member-up', member: { ...member, incarnation, servers } });
}
process.once('disconnect', () => process.exit());
process.once('message', prolongTurns);
const addresses: SlowProxyAddresses = { calls, forwards };
process.send?.(addresses);
