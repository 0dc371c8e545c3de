/** The recorded history of a mesh, and the check of the promises on it. */
import type { RunRecord } from './stand-in-server.js';

/** How one attempt of a caller ended. */
export type CallEnding =
  | { readonly kind: 'answered'; readonly status: number; readonly nonce: string | null }
  /** Refused with the outcome that the proxy named. */
  | { readonly kind: 'refused'; readonly status: number; readonly outcome: string }
  /** The connection broke or timed out: the caller knows nothing. */
  | { readonly kind: 'broken' };

/** One attempt of a caller. A resend has the same key and a nonce of its own. */
export interface CallRecord {
  readonly nonce: string;
  readonly key: string | undefined;
  readonly entry: string;
  readonly sentAt: number;
  readonly ending: CallEnding;
}

/** A receipt that an operator got. */
export interface AcceptedNote {
  readonly number: number;
  readonly version: number;
  readonly digest: string;
}

/** A version that a proxy said it held. */
export interface VersionReading {
  readonly proxy: string;
  readonly at: number;
  readonly version: number;
}

/** Everything that was recorded. */
export interface MeshHistory {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly accepted: readonly AcceptedNote[];
  /** The notes as read back at the end. */
  readonly finalNotes: readonly AcceptedNote[];
  readonly readings: readonly VersionReading[];
}

/** Lists every broken promise; an empty list means that the history keeps all of them. */
export function checkHistory(history: MeshHistory): string[] {
  return [
    ...checkKeys(history),
    ...checkRefusals(history),
    ...checkAnswers(history),
    ...checkNotes(history),
    ...checkReadings(history),
  ];
}

// Internals.

function checkKeys({ runs }: MeshHistory): string[] {
  const counts = countBy(runs.flatMap((run) => run.key ?? []));
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `key ${key} ran ${count} times`);
}

function checkRefusals({ calls, runs }: MeshHistory): string[] {
  const ran = new Set(runs.map((run) => run.nonce));
  return calls
    .filter(({ ending }) => ending.kind === 'refused' && ending.outcome === 'not-run')
    .filter((call) => ran.has(call.nonce))
    .map((call) => `call ${call.nonce} ran, although it was refused as not run`);
}

/** A keyed resend may get the answer of an earlier attempt with the same key, and no other. */
function checkAnswers({ calls }: MeshHistory): string[] {
  const keyOf = new Map(calls.map((call) => [call.nonce, call.key]));
  const broken: string[] = [];
  for (const { nonce, key, ending } of calls) {
    if (ending.kind !== 'answered' || ending.nonce === nonce) continue;
    const isResend = key !== undefined && ending.nonce !== null && keyOf.get(ending.nonce) === key;
    if (!isResend) broken.push(`call ${nonce} got the answer of ${ending.nonce ?? 'nobody'}`);
  }
  return broken;
}

function checkNotes({ accepted, finalNotes }: MeshHistory): string[] {
  const final = new Map(finalNotes.map((note) => [note.number, note]));
  const broken: string[] = [];
  const versions = new Map<number, number>();
  for (const { number, version, digest } of accepted) {
    const kept = final.get(number);
    if (kept?.version !== version || kept.digest !== digest) {
      broken.push(`note ${number} was accepted as version ${version} and is not there at the end`);
    }
    const former = versions.get(version);
    if (former !== undefined && former !== number) {
      broken.push(`notes ${former} and ${number} were both accepted as version ${version}`);
    }
    versions.set(version, number);
  }
  const last = Math.max(0, ...finalNotes.map((note) => note.version));
  if (new Set(finalNotes.map((note) => note.version)).size !== last) {
    broken.push(`the versions of the notes have a gap below ${last}`);
  }
  return broken;
}

function checkReadings({ readings }: MeshHistory): string[] {
  const highest = new Map<string, number>();
  const broken: string[] = [];
  for (const { proxy, version } of readings) {
    const former = highest.get(proxy) ?? 0;
    if (version < former) broken.push(`${proxy} moved back from version ${former} to ${version}`);
    highest.set(proxy, Math.max(former, version));
  }
  return broken;
}

function countBy(items: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(item, (counts.get(item) ?? 0) + 1);
  return counts;
}
