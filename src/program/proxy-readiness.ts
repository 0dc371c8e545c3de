/** Whether a proxy takes new calls, as load balancers and logs are told. */
import type { ReadyIn } from '../edge/index.js';
import type { Version } from '../ids.js';
import type { RecoveryLog } from './recovery-log.js';

/** What a proxy's readiness is told to. */
export interface ProxyReadinessOptions {
  readonly recovery: RecoveryLog;
  /** Tells load balancers, where there are any. */
  readonly post: (message: ReadyIn) => void;
}

/** A proxy is ready once it serves a version, and never again after a planned stop has begun. */
export class ProxyReadiness {
  readonly #options: ProxyReadinessOptions;
  #isStopping = false;

  constructor(options: ProxyReadinessOptions) {
    this.#options = options;
  }

  /** The process has started, and serves nothing yet. */
  start(): void {
    this.#reportNotReady('no-version');
  }

  /** Takes in that calls are routed by this version. */
  handleServed(version: Version): void {
    if (this.#isStopping) return;
    const { recovery, post } = this.#options;
    recovery.reportState('proxy', 'proxy-ready', { version });
    post({ kind: 'ready', isReady: true });
  }

  /** A planned stop begins. */
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
