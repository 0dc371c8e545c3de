/** Formats answers about notes as text for operators. */
import type {
  NoteAnswer,
  NotePage,
  NoteReceipt,
  NoteStatus,
  Straggler,
} from '../../messages/index.js';

/** Formats a receipt. */
export function formatReceipt({ number, revision, version }: NoteReceipt): string {
  return `note ${number}, revision ${revision}: accepted as version ${version}`;
}

/** Formats the reason of a refusal and the remedy. */
export function formatRefusal(answer: Exclude<NoteAnswer, { kind: 'accepted' }>): string {
  switch (answer.kind) {
    case 'refused':
      return ['refused:', ...answer.faults.map((one) => `  ${one.place}: ${one.message}`)].join(
        '\n',
      );
    case 'number-taken': {
      const { number, digest, version } = answer.winner;
      return `number taken: note ${number} is another note, accepted as version ${version} with digest ${digest}; choose another number`;
    }
    case 'stale-base':
      return `the configuration has changed since its base; the newest is ${answer.current ?? 'none'}`;
    case 'stale-revision':
      return `stale revision: the note is at revision ${answer.current}; read it again and decide anew`;
    case 'would-undo':
      return `would undo ${formatNotes(answer.notes)}: name them in "supersedes" if that is meant`;
    case 'rested-on':
      return `rested on: ${formatNotes(answer.notes)} need what this would take out; withdraw them first`;
    case 'unknown-note':
      return `unknown note: there is no note ${answer.number}`;
    case 'rollout':
    case 'rollout-in-progress':
    case 'rollout-refused':
    case 'rollout-moved':
    case 'rollouts-off':
      return `unexpected answer about a roll-out: ${answer.kind}`;
  }
}

/** Formats the status of one note. */
export function formatStatus(status: NoteStatus): string {
  const { receipt, title, withdrawn, inForce, coverage, history } = status;
  const state = inForce ? 'in force' : 'not yet in force';
  return [
    `note ${receipt.number}: ${title}`,
    `revision ${receipt.revision}, version ${receipt.version}, digest ${receipt.digest}`,
    `${withdrawn ? 'withdrawn; the withdrawal is ' : ''}${state}: ${coverage.holding} of ${coverage.known} proxies hold it`,
    `revisions: ${history.map((one) => `${one.revision} as version ${one.version}`).join(', ')}`,
    ...coverage.stragglers.map((one) => `  behind: ${formatStraggler(one)}`),
  ].join('\n');
}

/** Formats a page of notes, one line per note. */
export function formatPage({ notes, next }: NotePage): string {
  const lines = notes.map(({ receipt, title, withdrawn, inForce, holding, known }) => {
    const state = withdrawn ? 'withdrawn' : inForce ? 'in force' : `${holding} of ${known}`;
    return `${receipt.number}\trevision ${receipt.revision}\tversion ${receipt.version}\t${state}\t${title}`;
  });
  const more = next === undefined ? [] : [`more: --after ${next}`];
  return [...lines, ...more].join('\n');
}

/** Formats a proxy that does not hold the newest version: the version it holds, the reason and the time. */
export function formatStraggler({ host, version, reason, since }: Straggler): string {
  return `${host} holds version ${version}, ${reason} since ${new Date(since).toISOString()}`;
}

// Internals.

function formatNotes(numbers: readonly number[]): string {
  return `${numbers.length === 1 ? 'note' : 'notes'} ${numbers.join(', ')}`;
}
