/**
 * A proxy in a process of its own, whose calls and turns of the event loop take a set time on any machine.
 * Its argument is a {@link SlowProxyPlan} as JSON. It sends its addresses once it takes calls, takes the least
 * time of a turn as a message, and ends with the process that started it.
 */
import type { IncomingMessage } from 'node:http';
import { findFreeAddress } from '../bench/mesh.js';
import type { Result } from '../src/errors.js';
import type { HeadFault, UnreadHead } from '../src/edge/call-headers.js';
import { OwnCallFront } from '../src/edge/index.js';
import type { Address, CallId, Incarnation, Instant } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeServer, makeWhole } from './call-resources.js';

/** What a slow proxy does. */
export interface SlowProxyPlan {
  /** How long the process is busy with the head of each call. */
  readonly headMs: number;
  /** Where calls are served; without it every call is refused. */
  readonly server?: Address;
}

/** Where a slow proxy takes calls of callers, and those of other proxies. */
export interface SlowProxyAddresses {
  readonly calls: Address;
  readonly forwards: Address;
}

class SlowFront extends OwnCallFront {
  readonly #headMs: number;

  constructor(headMs: number) {
    super();
    this.#headMs = headMs;
  }

  override parseHead(
    request: IncomingMessage,
    id: CallId,
    now: Instant,
  ): Result<UnreadHead, HeadFault> {
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
const whole = makeWhole(makeKind('browse'), makeRoute('/shop', 'browse'));
const forwards = (await findFreeAddress()) as Address;
const mesh = await CallMesh.start({
  whole,
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
