/** The source's side of distribution. So far it sends each delta to every proxy that asked. */
import type { Address, HostId, Version } from '../ids.js';
import type { Coverage, SpreadMessage, VersionDelta } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';

/** What the source's spread pipe is told. */
export type SourceSpreadIn =
  | { readonly kind: 'version'; readonly delta: VersionDelta }
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: SpreadMessage;
    }
  | { readonly kind: 'link-down'; readonly address: Address };

/** What the source's spread pipe sends on. */
export type SourceSpreadOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: SpreadMessage }
  | {
      readonly kind: 'coverage';
      readonly coverage: readonly { readonly version: Version; readonly coverage: Coverage }[];
    };

/** A proxy as the source sees it. */
interface KnownProxy {
  readonly address: Address;
  readonly linked: boolean;
  readonly held: Version;
}

/** The state of the source's spread pipe. */
export interface SourceSpreadState {
  readonly deltas: readonly VersionDelta[];
  readonly proxies: ReadonlyMap<HostId, KnownProxy>;
}

/** Decides which deltas go to which proxies, and how far each version has spread. */
export class SourceSpreadFilter extends Filter<SourceSpreadState, SourceSpreadIn, SourceSpreadOut> {
  override createState(): SourceSpreadState {
    return { deltas: [], proxies: new Map() };
  }

  override decide(
    state: SourceSpreadState,
    message: SourceSpreadIn,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    switch (message.kind) {
      case 'version':
        return this.#spreadVersion(state, message.delta);
      case 'received':
        return this.#handleMessage(state, message.from, message.address, message.body);
      case 'link-down':
        return this.#unlinkProxy(state, message.address);
    }
  }

  // Internals.

  #spreadVersion(
    state: SourceSpreadState,
    delta: VersionDelta,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    const next = { ...state, deltas: [...state.deltas, delta] };
    const linked = [...state.proxies.values()].filter((proxy) => proxy.linked);
    const pushes = linked.map((proxy) => formPush(proxy.address, [delta]));
    return { state: next, outputs: [...pushes, formCoverage(next)] };
  }

  #handleMessage(
    state: SourceSpreadState,
    from: HostId,
    address: Address,
    body: SpreadMessage,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    if (body.kind === 'pull') {
      const next = updateProxy(state, from, { address, linked: true, held: body.after });
      const missing = state.deltas.filter((delta) => delta.version > body.after);
      return { state: next, outputs: [formPush(address, missing), formCoverage(next)] };
    }
    if (body.kind === 'ack') {
      const next = updateProxy(state, from, { address, linked: true, held: body.version });
      return { state: next, outputs: [formCoverage(next)] };
    }
    return { state, outputs: [] };
  }

  #unlinkProxy(
    state: SourceSpreadState,
    address: Address,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    const proxies = new Map(state.proxies);
    for (const [host, proxy] of proxies) {
      if (proxy.address === address) proxies.set(host, { ...proxy, linked: false });
    }
    const next = { ...state, proxies };
    return { state: next, outputs: [formCoverage(next)] };
  }
}

// Internals.

function updateProxy(state: SourceSpreadState, host: HostId, proxy: KnownProxy): SourceSpreadState {
  return { ...state, proxies: new Map(state.proxies).set(host, proxy) };
}

function formPush(to: Address, deltas: readonly VersionDelta[]): SourceSpreadOut {
  return { kind: 'send', to, body: { kind: 'push', deltas } };
}

function formCoverage(state: SourceSpreadState): SourceSpreadOut {
  const coverage = state.deltas.map(({ version }) => ({
    version,
    coverage: countCoverage(state, version),
  }));
  return { kind: 'coverage', coverage };
}

function countCoverage(state: SourceSpreadState, version: Version): Coverage {
  const proxies = [...state.proxies];
  const behind = proxies.filter(([, proxy]) => proxy.held < version);
  return {
    known: proxies.length,
    holding: proxies.length - behind.length,
    stragglers: behind.map(([host, proxy]) => ({
      host,
      reason: proxy.linked ? 'catching-up' : 'unreachable',
    })),
  };
}
