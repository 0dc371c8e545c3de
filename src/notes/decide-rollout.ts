/** Decides on the commands of roll-outs, without changing any state. */
import type { ResourceKey, ServerVersion, ServiceName, Version } from '../ids.js';
import type {
  Change,
  RolloutAnswer,
  RolloutCommand,
  RolloutPosition,
  RolloutResource,
} from '../messages/index.js';
import { buildKey } from '../messages/index.js';
import type { ConfigurationTable } from './configuration-table.js';

/** The verdict on a command of a roll-out: an answer without an effect, or the next record. */
export type RolloutVerdict =
  | { readonly kind: 'unchanged'; readonly answer: RolloutAnswer }
  | { readonly kind: 'rollout'; readonly rollout: RolloutResource };

/** Decides on one command. The verdict depends on the arguments only, so that all replicas agree. */
export function decideRollout(table: ConfigurationTable, command: RolloutCommand): RolloutVerdict {
  switch (command.kind) {
    case 'start-rollout':
      return decideStart(table, command);
    case 'step-rollout': {
      const former = findAt(table, command.at);
      if (former === undefined) return answerMoved(command.at.service);
      const rollout = { ...former, share: command.share, step: former.step + 1 };
      return { kind: 'rollout', rollout };
    }
    case 'end-rollout':
      return decideEnd(table, command);
    case 'adopt-version':
      return decideAdopt(table, command);
  }
}

/** Finds the record of a service. */
export function findRollout(
  table: ConfigurationTable,
  service: ServiceName,
): RolloutResource | undefined {
  const resource = table.find(buildKey({ kind: 'rollout', name: service }));
  return resource?.kind === 'rollout' ? resource : undefined;
}

/** Returns the version that serves a service while no roll-out runs; undefined if none is known. */
export function findVersionInUse(rollout: RolloutResource | undefined): ServerVersion | undefined {
  const isOrdered = rollout?.state === 'initial' || rollout?.state === 'completed';
  return isOrdered ? rollout.to : rollout?.from;
}

/** Lists the changes of records that follow from the withdrawal of services: running roll-outs end. */
export function listRolloutEnds(table: ConfigurationTable, changes: readonly Change[]): Change[] {
  return changes.flatMap((change): Change[] => {
    const service = change.op === 'remove' ? findServiceName(table, change.key) : undefined;
    const rollout = service === undefined ? undefined : findRollout(table, service);
    if (rollout?.state === 'initial') return [{ op: 'remove', key: buildKey(rollout) }];
    if (rollout?.state !== 'running') return [];
    const reason = 'the configuration withdrew the service';
    return [{ op: 'put', resource: buildEnded(rollout, 'rolled-back', reason) }];
  });
}

// Internals.

/** The same order within this time is taken as sent again; operators send an order again for at most 4 s. */
const RESEND_MS = 5_000;
const ROLLED_BACK_SHARE = 0;
const WHOLE_SHARE = 1;

type StartCommand = Extract<RolloutCommand, { kind: 'start-rollout' }>;
type EndCommand = Extract<RolloutCommand, { kind: 'end-rollout' }>;
type AdoptCommand = Extract<RolloutCommand, { kind: 'adopt-version' }>;

function decideStart(table: ConfigurationTable, command: StartCommand): RolloutVerdict {
  const { service, to, startedAt, deadline } = command;
  if (!hasService(table, service))
    return refuse('service', `${service} is not a service of the configuration`);
  const former = findRollout(table, service);
  if (former !== undefined && (former.state === 'running' || isResend(former, command)))
    return answerInProgress(former, to);
  const from = findVersionInUse(former);
  if (from === to) return refuse('to', `${to} is the version of ${service} in use`);
  return {
    kind: 'rollout',
    rollout: {
      kind: 'rollout',
      name: service,
      state: 'running',
      ...(from === undefined ? {} : { from }),
      to,
      share: ROLLED_BACK_SHARE,
      order: readNextVersion(table),
      step: 0,
      startedAt,
      deadline,
    },
  };
}

/** Returns whether an ended order is so recent that the same one must be a resend, which starts nothing again. */
function isResend(former: RolloutResource, { to, startedAt, deadline }: StartCommand): boolean {
  if (former.state === 'initial' || former.to !== to) return false;
  const hasSameDuration = former.deadline - former.startedAt === deadline - startedAt;
  return hasSameDuration && Math.abs(startedAt - former.startedAt) < RESEND_MS;
}

/** A completed roll-out must have moved all calls before. */
function decideEnd(table: ConfigurationTable, { at, state, reason }: EndCommand): RolloutVerdict {
  const former = findAt(table, at);
  if (former === undefined) return answerMoved(at.service);
  if (state === 'completed' && former.share !== WHOLE_SHARE) return answerMoved(at.service);
  return { kind: 'rollout', rollout: buildEnded(former, state, reason) };
}

function decideAdopt(
  table: ConfigurationTable,
  { service, version, startedAt }: AdoptCommand,
): RolloutVerdict {
  if (!hasService(table, service) || findRollout(table, service) !== undefined)
    return answerMoved(service);
  return {
    kind: 'rollout',
    rollout: {
      kind: 'rollout',
      name: service,
      state: 'initial',
      to: version,
      share: WHOLE_SHARE,
      order: readNextVersion(table),
      step: 0,
      startedAt,
      deadline: startedAt,
    },
  };
}

/** Finds the running record at a position; undefined if it has moved on. */
function findAt(
  table: ConfigurationTable,
  { service, order, step }: RolloutPosition,
): RolloutResource | undefined {
  const rollout = findRollout(table, service);
  const matches = rollout?.state === 'running' && rollout.order === order && rollout.step === step;
  return matches ? rollout : undefined;
}

function buildEnded(
  former: RolloutResource,
  state: 'completed' | 'rolled-back',
  reason: string,
): RolloutResource {
  const share = state === 'completed' ? WHOLE_SHARE : ROLLED_BACK_SHARE;
  return { ...former, state, share, reason, step: former.step + 1 };
}

function hasService(table: ConfigurationTable, service: ServiceName): boolean {
  return table.find(buildKey({ kind: 'service', name: service })) !== undefined;
}

function findServiceName(table: ConfigurationTable, key: ResourceKey): ServiceName | undefined {
  const resource = table.find(key);
  return resource?.kind === 'service' ? resource.name : undefined;
}

function readNextVersion({ version }: ConfigurationTable): Version {
  return (version + 1) as Version;
}

function answerInProgress(rollout: RolloutResource, to: ServerVersion): RolloutVerdict {
  const { name, state } = rollout;
  const ordered = `the order to move ${name} to ${rollout.to}`;
  const message =
    rollout.to === to
      ? `${ordered} has been accepted before and is ${state}`
      : `${ordered} is running; wait until it has ended before ordering ${to}`;
  return { kind: 'unchanged', answer: { kind: 'rollout-in-progress', rollout, message } };
}

function refuse(place: string, message: string): RolloutVerdict {
  const faults = [{ place, message }];
  return { kind: 'unchanged', answer: { kind: 'rollout-refused', faults } };
}

function answerMoved(service: ServiceName): RolloutVerdict {
  return { kind: 'unchanged', answer: { kind: 'rollout-moved', service } };
}
