/** Faults of settings, and how they are written for the operator. */
import { z } from 'zod';

/** One fault: the key at which it stands, and what is expected there. */
export interface SettingsFault {
  readonly key: string;
  readonly expected: string;
}

/** Thrown when settings cannot be used; the message lists each fault with file, key and remedy. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
  readonly file: string;
  readonly faults: readonly SettingsFault[];

  constructor(file: string, faults: readonly SettingsFault[]) {
    super(faults.map(({ key, expected }) => `${file}: ${key}: ${expected}`).join('\n'));
    this.file = file;
    this.faults = faults;
  }
}

/** Turns an issue of the schema into faults, one for each unknown key. */
export function formFaults(issue: z.core.$ZodIssue, schema: z.ZodType): SettingsFault[] {
  const place = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    return [{ key: place.join('.') || 'settings', expected: issue.message }];
  }
  const knownKeys = listKeys(schema, place);
  return issue.keys.map((name) => ({
    key: [...place, name].join('.'),
    expected: `unknown key; ${formHint(name, knownKeys)}`,
  }));
}

// Internals.

const UNIT_SUFFIX = /_(ms|bytes)$/;
const ANY_UNIT = /_(ms|s|sec|seconds|m|minutes|bytes|kb|mb)$/;

/** The part of a JSON schema that is needed to look up the keys of a section. */
interface ObjectSchema {
  readonly properties?: Readonly<Record<string, ObjectSchema>>;
}

/** Lists the keys that the schema knows at the given place. */
function listKeys(schema: z.ZodType, place: readonly string[]): string[] {
  let section: ObjectSchema | undefined = z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
  }) as ObjectSchema;
  for (const key of place) section = section?.properties?.[key];
  return Object.keys(section?.properties ?? {});
}

/** Tells an operator who left out or changed the unit of a key how that key is written. */
function formHint(name: string, knownKeys: readonly string[]): string {
  const stem = name.replace(ANY_UNIT, '');
  const withUnit = knownKeys.find(
    (known) => UNIT_SUFFIX.test(known) && known.replace(UNIT_SUFFIX, '') === stem,
  );
  if (withUnit !== undefined) return `the key carries its unit, write ${withUnit}`;
  return 'remove it or correct its spelling';
}
