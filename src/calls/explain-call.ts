/** Explains where a call would go, by the same decisions as for calls, without changing any state. */
import type { Address, CallId, Instant } from '../ids.js';
import type {
  CallExplanation,
  CallHead,
  ClientAccountResource,
  ExplainedService,
  ExplainQuery,
  RouteResource,
} from '../messages/index.js';
import type { AttemptState } from './attempt-state.js';
import type { ClassifyState } from './classify-filter.js';
import { judgeCall } from './classify-filter.js';
import { hasTimeBeforeStop } from './last-calls.js';
import { LatencyEstimate } from './latency-estimate.js';
import type { PickContext, Picker } from './picker.js';

/** The states of the filters that decide on a call. They are read only. */
export interface ExplainedStates {
  readonly classify: ClassifyState;
  readonly attempt: AttemptState;
  readonly isDraining: boolean;
}

/** Explains a call that arrives now. */
export function buildExplanation(
  { classify, attempt, isDraining }: ExplainedStates,
  picker: Picker,
  query: ExplainQuery,
  now: Instant,
): CallExplanation {
  if (isDraining) return { refusal: 'draining', services: [] };
  const account = findAccount(classify, query);
  const head = buildHead(query);
  const judged = judgeCall(classify, head, { account, hasKey: query.account !== undefined }, now);
  const version = classify.routes === undefined ? {} : { version: classify.routes.version };
  if (judged.kind === 'refused') return { ...version, refusal: judged.reason, services: [] };
  const { route, requestKind, deadline } = judged;
  const { name, largeAnswers } = requestKind;
  const context: PickContext = {
    now,
    tried: new Set<Address>(),
    requestKind: name,
    prefersOwnDataCentre: largeAnswers,
  };
  return {
    ...version,
    route: route.name,
    requestKind: name,
    ...(account === undefined ? {} : { account: account.name }),
    worth: account?.worth ?? requestKind.worth,
    timeoutMs: Math.round(deadline - now),
    services: listTargets(route).map(({ service, share }) => ({
      service,
      share,
      ...explainService(attempt, picker, service, context),
    })),
  };
}

// Internals.

function findAccount(
  { routes }: ClassifyState,
  { account }: ExplainQuery,
): ClientAccountResource | undefined {
  return account === undefined ? undefined : routes?.accounts.findNamed(account);
}

/** Builds the head of a call without a body, a deadline of its own or a claimed key. */
function buildHead({ method, host, path, caller }: ExplainQuery): CallHead {
  return {
    id: '' as CallId,
    method,
    ...(host === undefined ? {} : { host }),
    path,
    url: path,
    caller,
    peer: '',
    key: undefined,
    deadline: undefined,
    attempt: 1,
    bodyDigest: undefined,
    repeatable: true,
  };
}

function listTargets({
  service,
  targets,
}: RouteResource): Pick<ExplainedService, 'service' | 'share'>[] {
  if (targets === undefined) return [{ service, share: 1 }];
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  return targets
    .filter(({ weight }) => weight > 0)
    .map(({ service: target, weight }) => ({ service: target, share: weight / total }));
}

function explainService(
  state: AttemptState,
  picker: Picker,
  service: ExplainedService['service'],
  context: PickContext,
): Omit<ExplainedService, 'service' | 'share'> {
  const servers = picker.listServers(state.servers.listTiers(service), context);
  const latency = state.latencies.get(service) ?? new LatencyEstimate();
  if (!hasTimeBeforeStop(latency, state.answerBy, context.now)) {
    return { refusal: 'draining', servers };
  }
  return servers.some(({ cost }) => cost !== undefined)
    ? { servers }
    : { refusal: 'no-server', servers };
}
