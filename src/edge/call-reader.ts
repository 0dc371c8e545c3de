/** Reads the parts of calls that routing decisions need. */
import type { CallIn } from '../calls/index.js';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs } from '../clock.js';
import type { Result } from '../errors.js';
import { makeError } from '../errors.js';
import type { CallerId, Instant } from '../ids.js';
import { sendGrant } from './body-grant.js';
import { hasBody, readBody } from './call-body.js';
import type { CallFront } from './call-front.js';
import type { HeadFault, ParsedCallHead } from './call-headers.js';
import { parseForwardedHead } from './call-headers.js';
import type { Refusal } from './call-refusal.js';
import type { OpenCall } from './open-call.js';

/** Options of {@link CallReader}. */
export interface CallReaderOptions {
  readonly clock: Clock;
  readonly front: CallFront;
  /** The caller of all calls that enter at this proxy, if configured. */
  readonly caller: CallerId | undefined;
  /** The secret that other proxies send with the calls that they forward; see `Member.pass`. */
  readonly pass: string;
  /** Called with each unexpected error that reading a head led to. */
  readonly reportInputFault?: ((error: unknown) => void) | undefined;
  /** Returns whether the caller still waits for the answer. */
  readonly isOpen: (call: OpenCall) => boolean;
  /** Whether bodies of other proxies need a permission, because the bandwidth of the link is configured. */
  readonly admitsBodies: boolean;
  /** Receives the calls that have been read. */
  readonly post: (message: Extract<CallIn, { kind: 'arrived' | 'forwarded' }>) => void;
}

/** Reads the heads of calls and buffers the bodies of callers' calls for retries; refuses invalid calls. */
export class CallReader {
  readonly #options: CallReaderOptions;
  #readsBodies = true;

  constructor(options: CallReaderOptions) {
    this.#options = options;
  }

  /** Stops reading bodies, because every further call is refused. */
  startDrain(): void {
    this.#readsBodies = false;
  }

  /** Reads a call; its deadline is relative to `arrivedAt`. */
  read(call: OpenCall, arrivedAt: Instant): void {
    if (!this.#options.isOpen(call)) return;
    if (call.isForwarded) this.#readForwarded(call, arrivedAt);
    else this.#readCall(call, arrivedAt);
  }

  // Internals.

  #readCall(call: OpenCall, arrivedAt: Instant): void {
    const { front, post } = this.#options;
    const head = this.#parseHead(() => front.parseHead(call.request, call.id, arrivedAt));
    if (!head.ok) {
      call.refuse(buildHeadRefusal(head.error));
      return;
    }
    const caller = this.#options.caller ?? head.value.caller;
    call.caller = caller;
    if (!this.#readsBodies || !hasBody(call.request)) {
      post({
        kind: 'arrived',
        head: { ...head.value, caller, bodyDigest: undefined, repeatable: true },
      });
      return;
    }
    this.#readBody(call, { ...head.value, caller }).catch(() => {
      call.refuse({ reason: 'bad-request', outcome: 'not-run', message: 'the body broke off' });
    });
  }

  /** Parses a head. An unexpected error refuses the call: whatever a client sends must not end the process. */
  #parseHead<Head>(parse: () => Result<Head, HeadFault>): Result<Head, HeadFault> {
    try {
      return parse();
    } catch (error) {
      this.#options.reportInputFault?.(error);
      return makeError({ reason: 'bad-request', message: 'the head cannot be read' });
    }
  }

  async #readBody(call: OpenCall, head: ParsedCallHead): Promise<void> {
    const cancelTimer = this.#limitBodyTime(call);
    try {
      call.body = await readBody(call.request);
    } finally {
      cancelTimer();
    }
    if (call.response.writableEnded || !this.#options.isOpen(call)) return;
    const { body } = call;
    const bodyDigest = body.kind === 'held' ? body.digest : undefined;
    const repeatable = body.kind !== 'stream';
    this.#options.post({ kind: 'arrived', head: { ...head, bodyDigest, repeatable } });
  }

  #limitBodyTime(call: OpenCall): CancelTimer {
    const { clock } = this.#options;
    return clock.callAt(addMs(clock.read(), BODY_TIMEOUT_MS), () => {
      // The rest of the body may never arrive, so the connection cannot be reused.
      call.response.shouldKeepAlive = false;
      call.refuse({
        reason: 'bad-request',
        outcome: 'not-run',
        message: 'the body came too slowly',
      });
    });
  }

  #readForwarded(call: OpenCall, arrivedAt: Instant): void {
    const { pass, post } = this.#options;
    const parsed = this.#parseHead(() => {
      return parseForwardedHead(call.request, call.id, pass, arrivedAt);
    });
    if (!parsed.ok) {
      call.refuse(buildHeadRefusal(parsed.error));
      return;
    }
    const { head, count, caller, account, bodyBytes } = parsed.value;
    call.caller = caller;
    call.account = account;
    call.attempt = count;
    call.deadline = head.deadline;
    if (bodyBytes !== undefined && hasBody(call.request)) {
      this.#readAsked(call, { kind: 'forwarded', id: call.id, head, count, bodyBytes });
      return;
    }
    call.streamBody();
    post({ kind: 'forwarded', id: call.id, head, count });
  }

  /** Reads an attempt whose body waits for a permission; without a narrow link, it gets one at once. */
  #readAsked(call: OpenCall, attempt: Extract<CallIn, { kind: 'forwarded' }>): void {
    const { admitsBodies, post } = this.#options;
    if (admitsBodies) {
      post(attempt);
      return;
    }
    sendGrant(call.response);
    call.streamBody();
    // The entry proxy cannot send the body to another guard once it has begun.
    const { kind, id, head, count } = attempt;
    post({ kind, id, head: { ...head, onlyIfFree: false }, count });
  }
}

// Internals.

const BODY_TIMEOUT_MS = 10_000;

function buildHeadRefusal({ reason, message }: HeadFault): Refusal {
  return { reason, outcome: 'not-run', message };
}
