/** Grants shares and single tokens of the limits of client accounts while this source host leads. */
import { addMs, NEVER } from '../clock.js';
import type { Address, ClientAccountName, HostId, Instant, RequestId, Term } from '../ids.js';
import type {
  AllowanceReply,
  AllowanceRequest,
  Change,
  LogNotice,
  LogRequest,
  Resource,
} from '../messages/index.js';
import { Filter } from '../pipe/index.js';
import type { Step, WakeRequest } from '../pipe/index.js';
import { LimitTable } from './limit-table.js';
import { LOCK_MS } from './lease-times.js';
import { ShareLedger } from './share-ledger.js';

/** Inputs of the grantor. */
export type GrantorIn =
  | {
      readonly kind: 'received';
      readonly from: HostId;
      readonly address: Address;
      readonly body: AllowanceRequest;
    }
  /** The changes of a committed version. */
  | { readonly kind: 'changes'; readonly changes: readonly Change[] }
  /** All resources of the configuration. */
  | { readonly kind: 'resources'; readonly resources: readonly Resource[] }
  /** Whether this replica leads, and the outcome of its confirmations. */
  | { readonly kind: 'log'; readonly notice: GrantorNotice }
  | { readonly kind: 'tick' };

/** The notices of the log that the grantor needs. */
export type GrantorNotice = Extract<
  LogNotice<never>,
  { kind: 'leading' | 'confirmed' | 'refused' }
>;

/** Outputs of the grantor. */
export type GrantorOut =
  | { readonly kind: 'send'; readonly to: Address; readonly body: AllowanceReply }
  /** Tells a proxy that this host does not lead, and which one does, if known. */
  | { readonly kind: 'refuse'; readonly to: Address; readonly leader: HostId | undefined }
  | Extract<LogRequest<never>, { kind: 'confirm' }>
  /** This host begins or ceases to grant; sent only while an account has a limit. */
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
  readonly table: LimitTable;
  /** Until when shares of accounts that have lost their limit may be in use, also of earlier terms. */
  readonly retired: Map<ClientAccountName, Instant>;
  /** The term in which this host grants, as last reported. */
  grantingTerm: Term | undefined;
  leadership: Leadership | undefined;
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
      table: new LimitTable(),
      retired: new Map(),
      grantingTerm: undefined,
      leadership: undefined,
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
/**
 * Requests of this long share one confirmation, which delays a single token by half of it on average. With 10 ms, 400
 * tokens a second took 0.095 of a core at the leader, with 20 ms 0.064.
 */
const CONFIRM_INTERVAL_MS = 20;
const CONFIRM_TIMEOUT_MS = 1_000;
const MAX_WAITING_REQUESTS = 65_536;

function handleMessage(state: GrantorState, message: GrantorIn, now: Instant): GrantorOut[] {
  switch (message.kind) {
    case 'received':
      return addRequest(state, message, now);
    case 'changes':
    case 'resources':
      return updateLimits(state, message, now);
    case 'log':
      return handleNotice(state, message.notice, now);
    case 'tick':
      return startConfirmation(state, now);
  }
}

function addRequest(state: GrantorState, request: ReceivedRequest, now: Instant): GrantorOut[] {
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
  const isRefused = notice.kind === 'refused' || leadership === undefined;
  const outputs = isRefused
    ? requests.map((request) => refuseRequest(request, findLeader(notice)))
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
    term === undefined
      ? undefined
      : { term, ledger: new ShareLedger(state.table.limits, state.retired, now) };
  const refusals = requests.map((request) => refuseRequest(request, undefined));
  return [...reportGranting(state), ...refusals];
}

function updateLimits(
  state: GrantorState,
  message: Extract<GrantorIn, { kind: 'changes' | 'resources' }>,
  now: Instant,
): GrantorOut[] {
  const former = [...state.table.limits.keys()];
  const hasChanged =
    message.kind === 'changes'
      ? state.table.apply(message.changes)
      : state.table.reset(message.resources);
  if (!hasChanged) return [];
  for (const [name, until] of state.retired) if (now >= until) state.retired.delete(name);
  for (const name of former) {
    if (!state.table.limits.has(name)) state.retired.set(name, addMs(now, LOCK_MS));
  }
  state.leadership?.ledger.updateLimits(state.table.limits, now);
  return reportGranting(state);
}

function reportGranting(state: GrantorState): GrantorOut[] {
  const term = state.table.limits.size > 0 ? state.leadership?.term : undefined;
  if (term === state.grantingTerm) return [];
  state.grantingTerm = term;
  return [{ kind: 'granting', term }];
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

function refuseRequest({ address }: ReceivedRequest, leader: HostId | undefined): GrantorOut {
  return { kind: 'refuse', to: address, leader };
}

function findLeader(notice: GrantorNotice): HostId | undefined {
  const isKnown = notice.kind === 'refused' && notice.refusal.kind === 'not-leader';
  return isKnown ? notice.refusal.leader : undefined;
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
  if (body.kind === 'ask') {
    return { kind: 'tokens', tokens: ledger.takeTokens(body.tokens, now) };
  }
  if (!ledger.addReport(from, body, now)) return undefined;
  return { kind: 'grant', ...ledger.decideGrant(from, body.life, now) };
}
