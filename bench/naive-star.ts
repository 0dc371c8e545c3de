/** The baseline for distribution: the source sends a complete snapshot of every version to every proxy. */
import type { Address, HostId, Instant } from '../src/ids.js';
import type { SourceSpreadMessage, SpreadMessage, VersionDelta } from '../src/messages/index.js';
import { Filter } from '../src/pipe/index.js';
import type { Step } from '../src/pipe/index.js';
import { formSpan } from '../src/spread/delta-span.js';
import { formChunks, SnapshotAssembly } from '../src/spread/snapshot-assembly.js';
import { VersionStore } from '../src/spread/version-store.js';

/** Input messages of the source of a star. */
export type StarSourceInput =
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  | { readonly kind: 'received'; readonly address: Address; readonly body: SourceSpreadMessage };

/** Output messages of the source of a star. */
export interface StarSourceOutput {
  readonly kind: 'send';
  readonly to: Address;
  readonly body: SpreadMessage;
}

/** The state of the source of a star. */
export interface StarSourceState {
  readonly store: VersionStore;
  readonly proxies: Set<Address>;
}

/** Sends a snapshot to every known proxy for each version, and to each proxy that pulls. */
export class StarSourceFilter extends Filter<StarSourceState, StarSourceInput, StarSourceOutput> {
  override createState(): StarSourceState {
    return { store: new VersionStore(), proxies: new Set() };
  }

  override decide(
    state: StarSourceState,
    message: StarSourceInput,
  ): Step<StarSourceState, StarSourceOutput> {
    if (message.kind === 'version') {
      state.store.applySpans([formSpan(message.delta)]);
      return { state, outputs: this.#formSends(state, [...state.proxies]) };
    }
    if (message.body.kind !== 'pull') return { state, outputs: [] };
    state.proxies.add(message.address);
    return { state, outputs: this.#formSends(state, [message.address]) };
  }

  // Internals.

  #formSends(state: StarSourceState, targets: readonly Address[]): StarSourceOutput[] {
    const bodies = formChunks(state.store.whole).map((chunk): SpreadMessage => {
      return { kind: 'chunk', chunk };
    });
    return targets.flatMap((to) =>
      bodies.map((body): StarSourceOutput => ({ kind: 'send', to, body })),
    );
  }
}

/** Input messages of a proxy of a star. */
export type StarProxyInput =
  | { readonly kind: 'link-up'; readonly address: Address }
  | { readonly kind: 'received'; readonly address: Address; readonly body: SpreadMessage };

/** Output messages of a proxy of a star. */
export type StarProxyOutput =
  | { readonly kind: 'send-source'; readonly to: Address; readonly body: SourceSpreadMessage }
  | { readonly kind: 'whole'; readonly whole: VersionStore['whole'] };

/** The state of a proxy of a star. */
export interface StarProxyState {
  readonly store: VersionStore;
  readonly assembly: SnapshotAssembly;
}

/** Applies snapshots and acknowledges them. */
export class StarProxyFilter extends Filter<StarProxyState, StarProxyInput, StarProxyOutput> {
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
    message: StarProxyInput,
    _now: Instant,
  ): Step<StarProxyState, StarProxyOutput> {
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
