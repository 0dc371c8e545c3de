/** Reports the readiness of a proxy to load balancers and to the log. */
import type { ReadyIn } from '../edge/index.js';
import type { Version } from '../ids.js';
import type { RecoveryLog } from './recovery-log.js';

/** Options of {@link ProxyReadiness}. */
export interface ProxyReadinessOptions {
  readonly recovery: RecoveryLog;
  /** Posts to the readiness check for load balancers, if it is configured. */
  readonly post: (message: ReadyIn) => void;
}

/** A proxy is ready from the first version that it serves until a planned stop begins. */
export class ProxyReadiness {
  readonly #options: ProxyReadinessOptions;
  #isStopping = false;

  constructor(options: ProxyReadinessOptions) {
    this.#options = options;
  }

  /** Reports that the proxy is not ready, because it serves no version yet. */
  start(): void {
    this.#reportNotReady('no-version');
  }

  /** Reports the proxy as ready, because this version now routes calls. No effect after `stop`. */
  handleServed(version: Version): void {
    if (this.#isStopping) return;
    const { recovery, post } = this.#options;
    recovery.reportState('proxy', 'proxy-ready', { version });
    post({ kind: 'ready', isReady: true });
  }

  /** Reports that the proxy is not ready, because a planned stop begins. */
  stop(): void {
    this.#isStopping = true;
    this.#reportNotReady('stopping');
    this.#options.post({ kind: 'ready', isReady: false });
  }

  // Internals.

  #reportNotReady(reason: 'no-version' | 'stopping'): void {
    this.#options.recovery.reportState('proxy', 'proxy-not-ready', { reason });
  }
}
