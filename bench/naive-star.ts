/** The baseline for distribution: the source sends a complete snapshot of every version to every proxy. */
import type { Address, HostId, Instant } from '../src/ids.js';
import type {
  SourceDistributionMessage,
  DistributionMessage,
  VersionDelta,
} from '../src/messages/index.js';
import { Filter } from '../src/pipe/index.js';
import type { Step } from '../src/pipe/index.js';
import { buildSpan } from '../src/distribution/delta-span.js';
import { buildChunks, SnapshotAssembly } from '../src/distribution/snapshot-assembly.js';
import { VersionStore } from '../src/distribution/version-store.js';

/** Input messages of the source of a star. */
export type StarSourceIn =
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  | {
      readonly kind: 'received';
      readonly address: Address;
      readonly body: SourceDistributionMessage;
    };

/** Output messages of the source of a star. */
export interface StarSourceOut {
  readonly kind: 'send';
  readonly to: Address;
  readonly body: DistributionMessage;
}

/** The state of the source of a star. */
export interface StarSourceState {
  readonly store: VersionStore;
  readonly proxies: Set<Address>;
}

/** Sends a snapshot to every known proxy for each version, and to each proxy that pulls. */
export class StarSourceFilter extends Filter<StarSourceState, StarSourceIn, StarSourceOut> {
  override createState(): StarSourceState {
    return { store: new VersionStore(), proxies: new Set() };
  }

  override decide(
    state: StarSourceState,
    message: StarSourceIn,
  ): Step<StarSourceState, StarSourceOut> {
    if (message.kind === 'version') {
      state.store.applySpans([buildSpan(message.delta)]);
      return { state, outputs: this.#buildSends(state, [...state.proxies]) };
    }
    if (message.body.kind !== 'pull') return { state, outputs: [] };
    state.proxies.add(message.address);
    return { state, outputs: this.#buildSends(state, [message.address]) };
  }

  // Internals.

  #buildSends(state: StarSourceState, targets: readonly Address[]): StarSourceOut[] {
    const bodies = buildChunks(state.store.whole).map((chunk): DistributionMessage => {
      return { kind: 'chunk', chunk };
    });
    return targets.flatMap((to) =>
      bodies.map((body): StarSourceOut => ({ kind: 'send', to, body })),
    );
  }
}

/** Input messages of a proxy of a star. */
export type StarProxyIn =
  | { readonly kind: 'link-up'; readonly address: Address }
  | { readonly kind: 'received'; readonly address: Address; readonly body: DistributionMessage };

/** Output messages of a proxy of a star. */
export type StarProxyOut =
  | { readonly kind: 'send-source'; readonly to: Address; readonly body: SourceDistributionMessage }
  | { readonly kind: 'whole'; readonly configuration: VersionStore['whole'] };

/** The state of a proxy of a star. */
export interface StarProxyState {
  readonly store: VersionStore;
  readonly assembly: SnapshotAssembly;
}

/** Applies snapshots and acknowledges them. */
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
    const whole = { kind: 'whole', configuration: state.store.whole } as const;
    return { state, outputs: [whole, { kind: 'send-source', to: message.address, body }] };
  }
}
