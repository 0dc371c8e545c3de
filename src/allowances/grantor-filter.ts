/** Grants shares and single tokens of the limits of client accounts while this source host leads. */
import { addMs, NEVER } from '../clock.js';
import type { Address, ClientAccountName, HostId, Instant, RequestId, Term } from '../ids.js';
import type { AllowanceReply, AllowanceRequest, LogNotice, LogRequest } from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step, WakeRequest } from '../pipe/index.js';
import type { AccountLimit } from './account-limit.js';
import { ShareLedger } from './share-ledger.js';

/** Inputs of the grantor. */
export type GrantorIn =
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: AllowanceRequest;
    }
  | { readonly kind: 'limits'; readonly limits: ReadonlyMap<ClientAccountName, AccountLimit> }
  /** Whether this replica leads, and the outcome of its confirmations. */
  | { readonly kind: 'log'; readonly notice: GrantorNotice }
  /** The control address of the leader, if another source host leads. */
  | { readonly kind: 'leader'; readonly address: Address | undefined }
  | { readonly kind: 'tick' };

/** The notices of the log that the grantor needs. */
export type GrantorNotice = Extract<
  LogNotice<never>,
  { kind: 'leading' | 'confirmed' | 'refused' }
>;

/** Outputs of the grantor. */
export type GrantorOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: AllowanceReply }
  | Extract<LogRequest<never>, { kind: 'confirm' }>
  /** This host begins or ceases to grant; for the log. */
  | { readonly kind: 'granting'; readonly term: Term | undefined }
  | WakeRequest;

/** Whether the grantor requested the confirmation with this id, rather than another pipe. */
export function isGrantorConfirmation(id: RequestId): boolean {
  return id.startsWith(CONFIRMATION_ID_PREFIX);
}

/** A request that waits for a confirmation. */
type ReceivedRequest = Extract<GrantorIn, { kind: 'received' }>;

/** What this host knows while it leads. */
interface Leadership {
  readonly term: Term;
  readonly ledger: ShareLedger;
}

/** The state of the grantor; updated in place. */
export interface GrantorState {
  limits: ReadonlyMap<ClientAccountName, AccountLimit>;
  leadership: Leadership | undefined;
  leader: Address | undefined;
  /** Requests that arrived since the open confirmation began. */
  waiting: ReceivedRequest[];
  /** Requests that the open confirmation covers. */
  confirming: ReceivedRequest[];
  confirmId: RequestId | undefined;
  confirmCount: number;
  nextConfirmAt: Instant;
  /** When the open confirmation is given up. */
  giveUpAt: Instant;
  /** The addresses of the proxies that have reported. */
  readonly addresses: Map<HostId, Address>;
}

/**
 * Answers a request only after a quorum has confirmed, after the request arrived, that this host leads. So every
 * lease and every token is based on a request from before the next leader began.
 */
export class GrantorFilter extends Filter<GrantorState, GrantorIn, GrantorOut> {
  override createState(): GrantorState {
    return {
      limits: new Map(),
      leadership: undefined,
      leader: undefined,
      waiting: [],
      confirming: [],
      confirmId: undefined,
      confirmCount: 0,
      nextConfirmAt: 0 as Instant,
      giveUpAt: NEVER,
      addresses: new Map(),
    };
  }

  override decide(
    state: GrantorState,
    message: GrantorIn,
    now: Instant,
  ): Step<GrantorState, GrantorOut> {
    return { state, outputs: handleMessage(state, message, now) };
  }
}

// Internals.

/** What an answer says, without the fields that all answers have. */
type GrantorAnswer =
  | Pick<Extract<AllowanceReply, { kind: 'tokens' }>, 'kind' | 'tokens'>
  | Pick<Extract<AllowanceReply, { kind: 'grant' }>, 'kind' | 'isWhole' | 'shares'>;

const CONFIRMATION_ID_PREFIX = 'allowance-';
/** Requests of this long share one confirmation. It delays a single token by half of it on average. */
const CONFIRM_INTERVAL_MS = 10;
const CONFIRM_TIMEOUT_MS = 1_000;
const MAX_WAITING_REQUESTS = 65_536;

function handleMessage(state: GrantorState, message: GrantorIn, now: Instant): GrantorOut[] {
  switch (message.kind) {
    case 'received':
      return addRequest(state, message, now);
    case 'limits':
      state.limits = message.limits;
      state.leadership?.ledger.updateLimits(message.limits, now);
      return [];
    case 'leader':
      state.leader = message.address;
      return [];
    case 'log':
      return handleNotice(state, message.notice, now);
    case 'tick':
      return startConfirmation(state, now);
  }
}

function addRequest(state: GrantorState, request: ReceivedRequest, now: Instant): GrantorOut[] {
  if (state.leadership === undefined) return [refuseRequest(state, request)];
  if (state.waiting.length < MAX_WAITING_REQUESTS) state.waiting.push(request);
  return startConfirmation(state, now);
}

function handleNotice(state: GrantorState, notice: GrantorNotice, now: Instant): GrantorOut[] {
  if (notice.kind === 'leading') return changeLeadership(state, notice.term, now);
  if (notice.id !== state.confirmId) return [];
  const requests = state.confirming;
  state.confirming = [];
  state.confirmId = undefined;
  const { leadership } = state;
  const outputs =
    notice.kind === 'refused' || leadership === undefined
      ? requests.map((request) => refuseRequest(state, request))
      : requests.flatMap((request) => answerRequest(state, leadership, request, now));
  return [...outputs, ...startConfirmation(state, now)];
}

/** A new term begins with a new ledger, even if this host led before: another host may have led in between. */
function changeLeadership(state: GrantorState, term: Term | undefined, now: Instant): GrantorOut[] {
  const requests = [...state.confirming, ...state.waiting];
  state.waiting = [];
  state.confirming = [];
  state.confirmId = undefined;
  state.leadership =
    term === undefined ? undefined : { term, ledger: new ShareLedger(state.limits, now) };
  const refusals = requests.map((request) => refuseRequest(state, request));
  return [{ kind: 'granting', term }, ...refusals];
}

/** Starts one confirmation for all waiting requests, unless one is open or the last one began just now. */
function startConfirmation(state: GrantorState, now: Instant): GrantorOut[] {
  if (state.confirmId !== undefined && now < state.giveUpAt) return [];
  if (state.waiting.length === 0) return [];
  if (now < state.nextConfirmAt) return [{ kind: 'wake', at: state.nextConfirmAt }];
  state.confirming = state.waiting;
  state.waiting = [];
  state.confirmCount += 1;
  state.confirmId = `${CONFIRMATION_ID_PREFIX}${state.confirmCount}` as RequestId;
  state.nextConfirmAt = addMs(now, CONFIRM_INTERVAL_MS);
  state.giveUpAt = addMs(now, CONFIRM_TIMEOUT_MS);
  return [{ kind: 'confirm', id: state.confirmId }];
}

function refuseRequest({ leader }: GrantorState, { address }: ReceivedRequest): GrantorOut {
  return { kind: 'send', to: address, body: { kind: 'not-leader', leader } };
}

function answerRequest(
  state: GrantorState,
  { term, ledger }: Leadership,
  { from, address, body }: ReceivedRequest,
  now: Instant,
): GrantorOut[] {
  const answer = buildAnswer(ledger, from, body, now);
  if (answer === undefined) return [];
  state.addresses.set(from, address);
  const { life, number: answers } = body;
  const names = (body.kind === 'ask' ? body.tokens : body.accounts).map(([name]) => name);
  const recalls = ledger.listRecalls(from, names, now).flatMap(({ host, share }): GrantorOut[] => {
    const to = state.addresses.get(host);
    if (to === undefined) return [];
    return [{ kind: 'send', to, body: { kind: 'recall', term, shares: [share] } }];
  });
  return [{ kind: 'send', to: address, body: { ...answer, term, life, answers } }, ...recalls];
}

function buildAnswer(
  ledger: ShareLedger,
  from: HostId,
  body: AllowanceRequest,
  now: Instant,
): GrantorAnswer | undefined {
  if (body.kind === 'ask') return { kind: 'tokens', tokens: ledger.takeTokens(body.tokens, now) };
  if (!ledger.addReport(from, body, now)) return undefined;
  return { kind: 'grant', ...ledger.decideGrant(from, now) };
}
