/** The proxy's side of distribution: applies versions whole or not at all, and only upward. */
import type { Address, HostId } from '../ids.js';
import type { SpreadMessage, VersionDelta } from '../messages/index.js';
import { applyDelta, EMPTY_WHOLE, isApplyFault } from '../notes/index.js';
import type { ApplyFault, Whole } from '../notes/index.js';
import { Filter } from '../pipe/index.js';
import type { Step } from '../pipe/index.js';

/** What the proxy's spread pipe is told. */
export type ProxySpreadIn =
  | { readonly kind: 'link-up'; readonly address: Address }
  | { readonly kind: 'received'; readonly address: Address; readonly body: SpreadMessage };

/** What the proxy's spread pipe sends on. */
export type ProxySpreadOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: SpreadMessage }
  | { readonly kind: 'whole'; readonly whole: Whole }
  | { readonly kind: 'rejected'; readonly address: Address; readonly fault: ApplyFault };

/** The state of the proxy's spread pipe. */
export interface ProxySpreadState {
  readonly whole: Whole;
}

/** Decides which versions a proxy takes. */
export class ProxySpreadFilter extends Filter<ProxySpreadState, ProxySpreadIn, ProxySpreadOut> {
  readonly #host: HostId;

  constructor(host: HostId) {
    super();
    this.#host = host;
  }

  override createState(): ProxySpreadState {
    return { whole: EMPTY_WHOLE };
  }

  override decide(
    state: ProxySpreadState,
    message: ProxySpreadIn,
  ): Step<ProxySpreadState, ProxySpreadOut> {
    if (message.kind === 'link-up') {
      const body = { kind: 'pull', after: state.whole.version } as const;
      return { state, outputs: [{ kind: 'send', to: message.address, body }] };
    }
    if (message.body.kind !== 'push') return { state, outputs: [] };
    return this.#applyDeltas(state, message.address, message.body.deltas);
  }

  // Internals.

  #applyDeltas(
    state: ProxySpreadState,
    address: Address,
    deltas: readonly VersionDelta[],
  ): Step<ProxySpreadState, ProxySpreadOut> {
    const outputs: ProxySpreadOut[] = [];
    let whole = state.whole;
    for (const delta of deltas) {
      if (delta.version <= whole.version) continue;
      const next = applyDelta(whole, delta);
      if (isApplyFault(next)) {
        outputs.push({ kind: 'rejected', address, fault: next });
        break;
      }
      whole = next;
    }
    if (whole === state.whole) return { state, outputs };
    const ack = { kind: 'ack', host: this.#host, version: whole.version } as const;
    outputs.push({ kind: 'whole', whole }, { kind: 'send', to: address, body: ack });
    return { state: { whole }, outputs };
  }
}
