/** The naive distribution to beat: the source sends each whole snapshot to every proxy. */
import type { Address, HostId, Instant } from '../src/ids.js';
import type { SourceSpreadMessage, SpreadMessage, VersionDelta } from '../src/messages/index.js';
import { Filter } from '../src/pipe/index.js';
import type { Step } from '../src/pipe/index.js';
import { formSpan } from '../src/distribution/delta-span.js';
import { formChunks, SnapshotAssembly } from '../src/distribution/snapshot-assembly.js';
import { VersionStore } from '../src/distribution/version-store.js';

/** What the source of a star is told. */
export type StarSourceIn =
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  | { readonly kind: 'received'; readonly address: Address; readonly body: SourceSpreadMessage };

/** What the source of a star sends. */
export interface StarSourceOut {
  readonly kind: 'send';
  readonly to: Address;
  readonly body: SpreadMessage;
}

/** The state of the source of a star. */
export interface StarSourceState {
  readonly store: VersionStore;
  readonly proxies: Set<Address>;
}

/** Sends everything to everybody. */
export class StarSourceFilter extends Filter<StarSourceState, StarSourceIn, StarSourceOut> {
  override createState(): StarSourceState {
    return { store: new VersionStore(), proxies: new Set() };
  }

  override decide(
    state: StarSourceState,
    message: StarSourceIn,
  ): Step<StarSourceState, StarSourceOut> {
    if (message.kind === 'version') {
      state.store.applySpans([formSpan(message.delta)]);
      return { state, outputs: this.#formSends(state, [...state.proxies]) };
    }
    if (message.body.kind !== 'pull') return { state, outputs: [] };
    state.proxies.add(message.address);
    return { state, outputs: this.#formSends(state, [message.address]) };
  }

  // Internals.

  #formSends(state: StarSourceState, targets: readonly Address[]): StarSourceOut[] {
    const bodies = formChunks(state.store.whole).map((chunk): SpreadMessage => {
      return { kind: 'chunk', chunk };
    });
    return targets.flatMap((to) =>
      bodies.map((body): StarSourceOut => ({ kind: 'send', to, body })),
    );
  }
}

/** What a proxy of a star is told. */
export type StarProxyIn =
  | { readonly kind: 'link-up'; readonly address: Address }
  | { readonly kind: 'received'; readonly address: Address; readonly body: SpreadMessage };

/** What a proxy of a star sends on. */
export type StarProxyOut =
  | { readonly kind: 'send-source'; readonly to: Address; readonly body: SourceSpreadMessage }
  | { readonly kind: 'whole'; readonly whole: VersionStore['whole'] };

/** The state of a proxy of a star. */
export interface StarProxyState {
  readonly store: VersionStore;
  readonly assembly: SnapshotAssembly;
}

/** Takes snapshots and acknowledges them. */
export class StarProxyFilter extends Filter<StarProxyState, StarProxyIn, StarProxyOut> {
  readonly #host: HostId;

  constructor(host: HostId) {
    super();
    this.#host = host;
  }

  override createState(): StarProxyState {
    return { store: new VersionStore(), assembly: new SnapshotAssembly() };
  }

  override decide(
    state: StarProxyState,
    message: StarProxyIn,
    _now: Instant,
  ): Step<StarProxyState, StarProxyOut> {
    if (message.kind === 'link-up') {
      const body = { kind: 'pull', held: state.store.mark, dataCentre: 'star' } as never;
      return { state, outputs: [{ kind: 'send-source', to: message.address, body }] };
    }
    if (message.body.kind !== 'chunk') return { state, outputs: [] };
    const snapshot = state.assembly.addChunk(message.body.chunk);
    if (snapshot === undefined || state.store.applySnapshot(snapshot) !== undefined) {
      return { state, outputs: [] };
    }
    const { version } = state.store.mark;
    const groups = [{ version, count: 1, hosts: this.#host.length as never }];
    const body = { kind: 'ack', report: { own: version, groups, stragglers: [] } } as const;
    const whole = { kind: 'whole', whole: state.store.whole } as const;
    return { state, outputs: [whole, { kind: 'send-source', to: message.address, body }] };
  }
}
