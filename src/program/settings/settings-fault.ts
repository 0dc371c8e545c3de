/** Faults of settings and their messages for the operator. */
import { z } from 'zod';

/** One fault: the settings key and the value expected there. */
export interface SettingsFault {
  readonly key: string;
  readonly expected: string;
}

/** Thrown for invalid settings. The message has one line per fault with file, key and expected value. */
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

/** Converts a schema issue to faults: one per unknown key, or one for any other issue. */
export function buildFaults(issue: z.core.$ZodIssue, schema: z.ZodType): SettingsFault[] {
  const place = issue.path.map(String);
  if (issue.code !== 'unrecognized_keys') {
    return [{ key: place.join('.') || 'settings', expected: issue.message }];
  }
  const knownKeys = listKeys(schema, place);
  return issue.keys.map((name) => ({
    key: [...place, name].join('.'),
    expected: `unknown key; ${buildHint(name, knownKeys)}`,
  }));
}

// Internals.

const CANONICAL_UNIT_SUFFIX = /_(ms|bytes)$/;
const ANY_UNIT_SUFFIX = /_(ms|s|sec|seconds|m|minutes|bytes|kb|mb)$/;

/** The part of a JSON schema that lists the keys of a section. */
interface ObjectSchema {
  readonly properties?: Readonly<Record<string, ObjectSchema>>;
}

/** Lists the keys that the schema allows at the given path. */
function listKeys(schema: z.ZodType, place: readonly string[]): string[] {
  let section: ObjectSchema | undefined = z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
  }) as ObjectSchema;
  for (const key of place) section = section?.properties?.[key];
  return Object.keys(section?.properties ?? {});
}

/** Returns the correct key if only its unit suffix is missing or wrong, otherwise a general hint. */
function buildHint(name: string, knownKeys: readonly string[]): string {
  const stem = name.replace(ANY_UNIT_SUFFIX, '');
  const withUnit = knownKeys.find(
    (known) =>
      CANONICAL_UNIT_SUFFIX.test(known) && known.replace(CANONICAL_UNIT_SUFFIX, '') === stem,
  );
  if (withUnit !== undefined) return `the key carries its unit, write ${withUnit}`;
  return 'remove it or correct its spelling';
}
