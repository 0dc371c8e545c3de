/** The source's side of distribution. So far it sends each delta to every proxy that asked. */
import type { Address, HostId, Instant, Version } from '../ids.js';
import type { CoverageReport, SpreadMessage, Straggler, VersionDelta } from '../messages/index.js';
import { NO_VERSION } from '../ids.js';
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
  | { readonly kind: 'coverage'; readonly report: CoverageReport };

/** A proxy as the source sees it. */
interface KnownProxy {
  readonly address: Address;
  readonly linked: boolean;
  readonly held: Version;
  readonly heardAt: Instant;
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
    now: Instant,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    switch (message.kind) {
      case 'version':
        return this.#spreadVersion(state, message.delta);
      case 'received':
        return this.#handleMessage(state, message, now);
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
    { from, address, body }: Extract<SourceSpreadIn, { kind: 'received' }>,
    heardAt: Instant,
  ): Step<SourceSpreadState, SourceSpreadOut> {
    if (body.kind === 'pull') {
      const next = updateProxy(state, from, { address, linked: true, held: body.after, heardAt });
      const missing = state.deltas.filter((delta) => delta.version > body.after);
      return { state: next, outputs: [formPush(address, missing), formCoverage(next)] };
    }
    if (body.kind === 'ack') {
      const next = updateProxy(state, from, { address, linked: true, held: body.version, heardAt });
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
  const newest = state.deltas.at(-1)?.version ?? NO_VERSION;
  const proxies = [...state.proxies];
  const counts = new Map<Version, number>();
  for (const [, { held }] of proxies) counts.set(held, (counts.get(held) ?? 0) + 1);
  const held = [...counts].map(([version, count]) => ({ version, count }));
  const stragglers = proxies
    .filter(([, proxy]) => proxy.held < newest)
    .map(([host, proxy]) => formStraggler(host, proxy));
  const sorted = held.sort((left, right) => left.version - right.version);
  return { kind: 'coverage', report: { known: proxies.length, held: sorted, stragglers } };
}

function formStraggler(host: HostId, proxy: KnownProxy): Straggler {
  const reason = proxy.linked ? 'catching-up' : 'unreachable';
  return { host, version: proxy.held, reason, since: proxy.heardAt };
}
