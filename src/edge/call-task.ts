/** Serves calls of callers and other proxies and forwards them to backend servers. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Stream } from 'most';
import type {
  BodyCounts,
  BodyWaitEnd,
  CallIn,
  CallObserver,
  CallOut,
  HedgingOptions,
  Picker,
  Locality,
  RetryBudgetLimits,
  SlotPolicy,
} from '../calls/index.js';
import { CallPipe, NoopObserver, PrioritySlotPolicy, TwoChoicesPicker } from '../calls/index.js';
import type { CancelTimer, Clock } from '../clock.js';
import { addMs, NEVER } from '../clock.js';
import type { Address, CallerId, CallId, Instant, ProxyLife, TimeOfDay } from '../ids.js';
import type { LimitsResource, RefusalReason, StoredAnswer } from '../messages/index.js';
import type { ReportFailure } from '../pipe/index.js';
import { applyFilter, WakeTimer } from '../pipe/index.js';
import type { Random } from '../random.js';
import type { HopTracer } from '../traces/index.js';
import { NoopTracer } from '../traces/index.js';
import { runAfterPoll } from './after-poll.js';
import { AttemptSender } from './attempt-sender.js';
import { BodyPacer } from './body-pacer.js';
import { BodyReceiver } from './body-receiver.js';
import type { CallFront } from './call-front.js';
import { isForwarded } from './call-headers.js';
import { CallIntake } from './call-intake.js';
import { CallReader } from './call-reader.js';
import { CallerConnections } from './caller-connections.js';
import { ConnectionWatch } from './connection-watch.js';
import { probeServer } from './call-probe.js';
import type { Refusal } from './call-refusal.js';
import type { ReportInputFault } from './http-task.js';
import { HttpTask } from './http-task.js';
import type { HeldAnswers } from './link-pacer.js';
import { LinkPacer } from './link-pacer.js';
import { LoopLag } from './loop-lag.js';
import { OpenCall } from './open-call.js';
import { DefaultCallFront } from './default-call-front.js';
import type { PlannedStop } from './planned-stop.js';
import { countRemaining, refuseBufferedAnswers } from './planned-stop.js';

/** Outputs of the call task for other tasks. */
export type CallNotice = Extract<
  CallOut,
  {
    kind:
      | 'ledger'
      | 'observed'
      | 'broadcast'
      | 'allowance-request'
      | 'allowance-lease'
      | 'explained'
      | 'run-begun'
      | 'run-over';
  }
>;

/** Reports bytes that other tasks sent over the link of this host. */
export interface LinkUse {
  readonly kind: 'link-used';
  readonly bytes: number;
}

/** Options of {@link CallTask}. */
export interface CallTaskOptions {
  /** The listen address for calls of callers and other proxies. */
  readonly address: Address;
  /** An additional listen address for calls of other proxies. */
  readonly secondAddress?: Address | undefined;
  readonly front?: CallFront;
  /** The caller of all calls that enter at this proxy, if configured. */
  readonly caller?: CallerId | undefined;
  readonly retries?: RetryBudgetLimits;
  /** The limit on hedges; without it no call is hedged. */
  readonly hedging?: HedgingOptions | undefined;
  /** Whether keys are accepted only until the instant of the last `keys-trusted`. */
  readonly isRevocationStrict?: boolean;
  /** Identifies this life of the process to the grantor of allowances. */
  readonly life?: ProxyLife;
  readonly place: Locality;
  /** The secret that other proxies send with the calls that they forward; see `Member.pass`. */
  readonly pass: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly reportFailure: ReportFailure;
  readonly reportInputFault?: ReportInputFault | undefined;
  readonly send: (notice: CallNotice) => void;
  readonly tracer?: HopTracer;
  readonly observer?: CallObserver;
  readonly picker?: Picker;
  readonly createPolicy?: () => SlotPolicy;
  /** Whether the deployment has roll-outs, so that versions of backend servers matter. */
  readonly hasRollouts?: boolean;
  /** The bandwidth of the link of this host, if configured; large answers are paced to a part of it. */
  readonly linkBytesPerSecond?: number | undefined;
}

/** Owns the listening sockets, the connections to backend servers and proxies, and the calls in progress. */
export class CallTask extends HttpTask<CallIn | LinkUse> {
  readonly #options: CallTaskOptions;
  readonly #front: CallFront;
  readonly #tracer: HopTracer;
  readonly #observer: CallObserver;
  readonly #sender: AttemptSender;
  readonly #pacer: LinkPacer | undefined;
  readonly #calls = new Map<CallId, OpenCall>();
  readonly #connections: CallerConnections;
  readonly #reader: CallReader;
  readonly #bodies: BodyReceiver;
  readonly #intake: CallIntake;
  readonly #lag = new LoopLag();
  readonly #timer: WakeTimer;
  #notifyIdle: (() => void) | undefined;
  #closeBy: Instant = NEVER;
  #cancelRefusals: CancelTimer | undefined;
  #isDraining = false;
  #bodyCounts: Pick<BodyCounts, 'waiting' | 'arriving'> = { waiting: 0, arriving: 0 };
  /** Whether an account has a limit, so that the pipe needs the time of day. */
  #isLimited = false;

  constructor(options: CallTaskOptions) {
    super({ name: 'calls', ...options, server: SERVER_OPTIONS });
    this.#options = options;
    this.#front = options.front ?? new DefaultCallFront();
    this.#tracer = options.tracer ?? new NoopTracer();
    this.#observer = options.observer ?? new NoopObserver();
    const { clock, linkBytesPerSecond } = options;
    this.#pacer =
      linkBytesPerSecond === undefined ? undefined : new LinkPacer(clock, linkBytesPerSecond);
    this.#sender = new AttemptSender({
      clock,
      pacer: this.#pacer,
      bodyPacer: this.#createBodyPacer(),
      front: this.#front,
      tracer: this.#tracer,
      observer: this.#observer,
      post: (message) => {
        this.#lag.measure();
        this.post(message);
      },
      notifyEnded: () => {
        this.#checkIdle();
      },
    });
    this.#connections = new CallerConnections(options.clock, (id) => {
      const call = this.#calls.get(id);
      if (call !== undefined) this.#removeCall(call);
    });
    this.#reader = new CallReader({
      ...options,
      front: this.#front,
      caller: options.caller,
      reportInputFault: (error) => {
        options.reportInputFault?.(this.name, error);
      },
      isOpen: ({ id }) => this.#calls.has(id),
      admitsBodies: linkBytesPerSecond !== undefined,
      post: (message) => {
        if (message.kind === 'arrived') this.#postTimeOfDay();
        this.post(message);
      },
    });
    this.#bodies = new BodyReceiver((event) => {
      this.post(event);
    });
    this.#intake = new CallIntake({
      startNext: () => {
        this.post({ kind: 'turn' });
      },
      endTurn: () => {
        this.post({ kind: 'turn-over' });
      },
    });
    this.#timer = new WakeTimer(options.clock, (deadline) => {
      this.#handleDeadline(deadline);
    });
  }

  /** The answers to other proxies that are buffered for the link. */
  get heldAnswers(): HeldAnswers {
    return this.#pacer?.held ?? { answers: 0, bytes: 0 };
  }

  /** The large bodies of other proxies that wait for a permission, and those that arrive. */
  get bodies(): Pick<BodyCounts, 'waiting' | 'arriving'> {
    return this.#bodyCounts;
  }

  /** Hands the pipe a message of a source host about allowances. */
  handleAllowance(reply: Extract<CallIn, { kind: 'allowance-reply' }>): void {
    this.#postTimeOfDay();
    this.post(reply);
  }

  /** Begins a planned stop: calls are still accepted, and each is answered or refused before `answerBy`. */
  startStop({ answerBy, closeBy }: PlannedStop): void {
    this.#closeBy = closeBy;
    this.#cancelRefusals = this.#options.clock.callAt(answerBy, () => {
      refuseBufferedAnswers(this.#calls.values());
    });
    this.#sender.startStop();
    this.#pacer?.startStop(answerBy);
    this.post({ kind: 'stopping', answerBy });
  }

  /** Refuses new calls as not run; resolves when no call is in progress, or at `closeBy` of a planned stop. */
  async drain(): Promise<void> {
    this.#isDraining = true;
    this.#reader.startDrain();
    this.post({ kind: 'drain' });
    await new Promise<void>((resolve) => {
      const cancelTimer = this.#options.clock.callAt(this.#closeBy, resolve);
      this.#notifyIdle = () => {
        cancelTimer();
        resolve();
      };
      this.#checkIdle();
    });
    this.#observer.endStop(countRemaining([...this.#calls.values()], this.#sender.size));
    this.#cancelRefusals?.();
    refuseBufferedAnswers(this.#calls.values());
  }

  protected override prepareServer(server: Server): void {
    server.maxHeadersCount = 0;
    server.maxConnections = MAX_CONNECTIONS;
    this.#connections.watch(server);
    server.on('connection', () => {
      this.#intake.addConnection();
    });
    const listener = server === this.servers[0] ? 'callers' : 'proxies';
    new ConnectionWatch(this.#options.clock, this.#observer).watch(server, listener);
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
      if (socket.writable) this.#observer.refuseConnection(error.code);
      this.#connections.refuse(socket, error.code);
    });
  }

  protected override closeConnections(server: Server): void {
    this.#connections.close(server, this.#closeBy);
  }

  protected override async close(): Promise<void> {
    await this.drain();
    await super.close();
    this.#timer.stop();
    this.#sender.close();
  }

  protected override createPipe(messages: Stream<CallIn | LinkUse>): Stream<unknown> {
    const { place, clock, random, picker, createPolicy, retries } = this.#options;
    const { hedging, isRevocationStrict, linkBytesPerSecond, life, hasRollouts } = this.#options;
    const pipe = new CallPipe({
      place,
      picker: picker ?? new TwoChoicesPicker(random),
      createPolicy: createPolicy ?? (() => new PrioritySlotPolicy()),
      retries,
      hedging,
      isRevocationStrict,
      linkBytesPerSecond,
      life,
      versionPhase: hasRollouts === true ? () => random.next() : undefined,
    });
    const forPipe = messages.filter((message): message is CallIn => !this.#handleLinkUse(message));
    return applyFilter(pipe, clock, forPipe).tap((output) => {
      this.#handleOutput(output);
    });
  }

  protected override handle(request: IncomingMessage, response: ServerResponse): void {
    if (this.#connections.isRefused(request.socket)) return;
    if (this.#isDraining) response.shouldKeepAlive = false;
    const id = randomUUID() as string as CallId;
    const call = new OpenCall({
      id,
      request,
      response,
      isForwarded: isForwarded(request),
      now: this.#options.clock.read(),
      front: this.#front,
      tracer: this.#tracer,
      observer: this.#observer,
    });
    this.#calls.set(id, call);
    const isFirst = this.#connections.addCall(request.socket, id, request);
    response.on('close', () => {
      this.#removeCall(call);
    });
    if (this.#calls.size > MAX_OPEN_CALLS) {
      call.refuse(TOO_MANY_OPEN_CALLS);
      return;
    }
    const lagMs = this.#lag.measure();
    const arrivedAt = addMs(this.#options.clock.read(), -lagMs);
    this.#intake.add({
      read: () => {
        this.readGuarded(response, () => {
          this.#reader.read(call, arrivedAt);
        });
      },
      refuse: () => {
        call.refuse(HEAD_WAITED_TOO_LONG);
      },
      // A new connection may have waited in the accept backlog, which the lag does not include.
      needsPoll: this.#lag.isBusy || isFirst,
    });
  }

  // Internals.

  /** Creates the pacer of bodies to other proxies; they take their part of the link from the paced answers. */
  #createBodyPacer(): BodyPacer | undefined {
    const { clock, linkBytesPerSecond } = this.#options;
    if (linkBytesPerSecond === undefined) return undefined;
    const notifySent = (bytes: number): void => {
      this.#pacer?.addOtherTraffic(bytes);
    };
    return new BodyPacer({ clock, linkBytesPerSecond, notifySent });
  }

  /** Passes a message to the link pacer if it is for it; returns whether it was. */
  #handleLinkUse(message: CallIn | LinkUse): message is LinkUse {
    if (message.kind !== 'link-used') return false;
    this.#pacer?.addOtherTraffic(message.bytes);
    return true;
  }

  /** Removes a call whose caller has disconnected or received the complete answer. */
  #removeCall(call: OpenCall): void {
    if (!this.#calls.delete(call.id)) return;
    this.#connections.forgetCall(call.request.socket, call.id);
    this.#connections.limitRemainingBody(call.request);
    call.end(this.#options.clock.read());
    this.post({ kind: 'gone', id: call.id });
    this.#checkIdle();
  }

  #handleOutput(output: CallOut): void {
    switch (output.kind) {
      case 'classified':
        this.#setClassified(output);
        return;
      case 'dispatch':
        this.#sender.dispatch(this.#calls.get(output.id), output);
        return;
      case 'run':
        this.#sender.run(this.#calls.get(output.id), output);
        return;
      case 'grant-body':
        this.#observeBody(output, 'granted');
        this.#bodies.receive(this.#calls.get(output.id), output);
        return;
      case 'reject-body':
        this.#observeBody(output, output.isGranted ? 'stalled' : 'refused', output.reason);
        return;
      case 'body-counts':
        this.#bodyCounts = output;
        return;
      case 'relay':
        this.#relay(output);
        return;
      case 'cancel':
        this.#sender.cancel(output.attempt, 'withdrawn');
        return;
      case 'stop-run':
        this.#sender.cancel(output.attempt, output.reason);
        return;
      case 'sent-again':
        this.#observer.sendAgain(this.#calls.get(output.id), output);
        return;
      case 'hedge-reported':
        this.#observer.reportHedge(this.#calls.get(output.id), output.result);
        return;
      case 'refuse':
        this.#calls.get(output.id)?.refuse(output);
        return;
      case 'replay':
        this.#replay(output.id, output.answer);
        return;
      case 'probe':
        this.#probe(output.server);
        return;
      case 'limits':
        this.#applyLimits(output.limits);
        return;
      case 'want-turn':
        this.#intake.notifyWaiting();
        return;
      case 'wake':
        this.#timer.wakeAt(output.at);
        return;
      case 'allowances':
        this.#isLimited = output.isLimited;
        return;
      case 'allowance-request':
      case 'allowance-lease':
      case 'ledger':
      case 'observed':
      case 'broadcast':
      case 'explained':
      case 'run-begun':
      case 'run-over':
        this.#options.send(output);
        return;
    }
  }

  /**
   * Handles a deadline. Timers run before the poll phase, so if the timer is late, the sockets are read first: the
   * answer may have arrived while the process was busy.
   */
  #handleDeadline(deadline: Instant): void {
    const tick = (): void => {
      this.#postTimeOfDay();
      this.post({ kind: 'tick' });
    };
    if (this.#options.clock.read() - deadline >= MIN_TIMER_DELAY_MS) runAfterPoll(tick);
    else tick();
  }

  /** A jump of the time of day against the clock of the process shows that the process was frozen. */
  #postTimeOfDay(): void {
    if (this.#isLimited) this.post({ kind: 'time-of-day', at: Date.now() as TimeOfDay });
  }

  #setClassified({ id, version, account }: Extract<CallOut, { kind: 'classified' }>): void {
    const call = this.#calls.get(id);
    if (call === undefined) return;
    call.version = version;
    call.account = account;
  }

  #observeBody(
    { id, waitedMs }: Extract<CallOut, { kind: 'grant-body' | 'reject-body' }>,
    outcome: BodyWaitEnd['outcome'],
    reason?: RefusalReason,
  ): void {
    const call = this.#calls.get(id);
    const request = call?.requestId;
    const path = call?.request.url ?? '';
    this.#observer.endBodyWait({ request, path, outcome, reason, waitedMs });
  }

  #relay(output: Extract<CallOut, { kind: 'relay' }>): void {
    const call = this.#calls.get(output.id);
    if (call !== undefined) call.hasAnswer = true;
    this.#sender.relay(call, output);
  }

  #applyLimits({ headerTimeoutMs, idleTimeoutMs }: LimitsResource): void {
    for (const server of this.servers) {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    }
  }

  #replay(id: CallId, { status, headers, body }: StoredAnswer): void {
    const response = this.#calls.get(id)?.response;
    response?.writeHead(status, [...headers]);
    response?.end(body);
  }

  #probe(server: Address): void {
    probeServer(server).then(
      (accepts) => {
        this.post({ kind: 'probed', server, accepts });
      },
      (error: unknown) => {
        this.fail(error);
      },
    );
  }

  #checkIdle(): void {
    if (this.#calls.size > 0 || this.#sender.size > 0) return;
    this.#notifyIdle?.();
  }
}

// Internals.

const MAX_CONNECTIONS = 8_192;
const MAX_OPEN_CALLS = 8_192;
/** Timers of an idle process are one or two milliseconds late. */
const MIN_TIMER_DELAY_MS = 4;

const SERVER_OPTIONS = {
  maxHeaderSize: 16 * 1024,
  headersTimeout: 10_000,
  requestTimeout: 0,
  connectionsCheckingInterval: 1_000,
  keepAliveTimeout: 30_000,
  noDelay: true,
};

/** The head was not parsed in time. */
const HEAD_WAITED_TOO_LONG: Refusal = { reason: 'proxy-overloaded', outcome: 'not-run' };
const TOO_MANY_OPEN_CALLS: Refusal = { reason: 'overloaded', outcome: 'not-run' };
