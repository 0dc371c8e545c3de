/** Parses release notes from TOML or JSON and validates them against a schema. */
import { createHash } from 'node:crypto';
import { parse, TomlError } from 'smol-toml';
import { z } from 'zod';
import type { Result } from '../errors.js';
import { makeError, makeOk } from '../errors.js';
import type { Digest, Generation, ResourceKey } from '../ids.js';
import {
  parseAccountKey,
  parseClientAccountName,
  parseGeneration,
  parseNoteNumber,
  parseRequestKindName,
  parseServerVersion,
  parseServiceName,
} from '../ids.js';
import type {
  NoteDraft,
  NoteFault,
  Replacement,
  Resource,
  RolloutOrder,
} from '../messages/index.js';
import { buildKeyDigest, MAX_KEYS_PER_ACCOUNT, MAX_TIMEOUT_MS } from '../notes/index.js';
import { buildIdSchema } from './id-schema.js';

/** The text format of a note. Both formats use the same keys. */
export type NoteFormat = 'toml' | 'json';

/** Parses a note; an error lists every fault with its location in the file. */
export function readNote(
  text: string,
  format: NoteFormat = 'toml',
): Result<NoteDraft, readonly NoteFault[]> {
  return readText(text, format, noteSchema);
}

/** Parses the version and the duration of an order to start a roll-out. */
export function readRolloutOrder(
  text: string,
  format: NoteFormat = 'toml',
): Result<Omit<RolloutOrder, 'service'>, readonly NoteFault[]> {
  return readText(text, format, rolloutOrderSchema);
}

/**
 * Parses a complete configuration that replaces the present one: its number, the number of the
 * configuration it is based on, and all resources.
 */
export function readReplacement(
  text: string,
  format: NoteFormat = 'toml',
): Result<Replacement, readonly NoteFault[]> {
  const parsed = readText(text, format, replacementSchema);
  if (!parsed.ok) return parsed;
  const { number, base, resources } = parsed.value;
  const digest = createHash('sha256').update(text).digest('hex') as Digest;
  return makeOk({ number, base, resources, document: Buffer.from(text), digest });
}

// Internals.

const TOTAL_SHARE = 10_000;
const PATH_PREFIX_PATTERN = /^\/$|^(\/[^/?#\s]+)+$/;

/** Parses a text and checks it against a schema. */
function readText<T>(
  text: string,
  format: NoteFormat,
  schema: z.ZodType<T>,
): Result<T, readonly NoteFault[]> {
  const parsed = format === 'toml' ? parseToml(text) : parseJson(text);
  if (!parsed.ok) return parsed;
  const checked = schema.safeParse(parsed.value);
  if (checked.success) return makeOk(checked.data);
  return makeError(checked.error.issues.flatMap((issue) => buildFaults(issue)));
}

function parseToml(text: string): Result<unknown, readonly NoteFault[]> {
  try {
    return makeOk(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const place = `line ${error.line}, column ${error.column}`;
    return makeError([{ place, message: error.message }]);
  }
}

function parseJson(text: string): Result<unknown, readonly NoteFault[]> {
  try {
    return makeOk(JSON.parse(text));
  } catch (error) {
    return makeError([{ place: 'note', message: (error as Error).message }]);
  }
}

const nameSchema = buildIdSchema<string>(parseServiceName);
const serviceSchema = z
  .strictObject({
    kind: z.literal('service'),
    name: buildIdSchema(parseServiceName),
    health_path: z.string().startsWith('/').optional(),
    connections: z.int().min(1).optional(),
  })
  .transform(({ kind, name, health_path, connections }) => ({
    kind,
    name,
    ...(health_path === undefined ? {} : { healthPath: health_path }),
    ...(connections === undefined ? {} : { connections }),
  }));

const targetSchema = z.strictObject({
  service: buildIdSchema(parseServiceName),
  weight: z.number().min(0),
});

const routeSchema = z
  .strictObject({
    kind: z.literal('route'),
    name: nameSchema,
    generation: buildIdSchema(parseGeneration).optional(),
    host: z.string().min(1).toLowerCase().optional(),
    path_prefix: z.string().startsWith('/', 'expected an absolute path such as "/orders"'),
    method: z.string().regex(/^(\*|[A-Z]+)$/, 'expected a method in capitals, or "*"'),
    service: buildIdSchema(parseServiceName),
    targets: z.array(targetSchema).min(1).optional(),
    request_kind: buildIdSchema(parseRequestKindName),
    public: z.boolean().optional(),
  })
  .refine(({ host, path_prefix }) => host !== undefined || PATH_PREFIX_PATTERN.test(path_prefix), {
    path: ['path_prefix'],
    error: 'expected an absolute path such as "/orders", without a slash at its end',
  })
  .refine(({ service, targets }) => targets === undefined || targets[0]?.service === service, {
    path: ['targets'],
    error: 'the first target must be the service of the route',
  })
  .transform(({ host, targets, path_prefix, request_kind, public: isPublic, ...rest }) => ({
    ...rest,
    ...(host === undefined ? {} : { host }),
    ...(targets === undefined ? {} : { targets }),
    pathPrefix: path_prefix,
    requestKind: request_kind,
    ...(isPublic === undefined ? {} : { isPublic }),
  }));

const requestKindSchema = z
  .strictObject({
    kind: z.literal('request-kind'),
    name: buildIdSchema(parseRequestKindName),
    idempotent: z.boolean(),
    worth: z.number().min(0),
    timeout_ms: z.int().min(1).max(MAX_TIMEOUT_MS),
    claim: z.boolean().default(false),
    hedge: z.boolean().default(false),
    target_latency_ms: z.int().min(1).max(MAX_TIMEOUT_MS).optional(),
    max_attempts: z.int().min(1).optional(),
    large_answers: z.boolean().optional(),
    large_bodies: z.boolean().optional(),
  })
  .refine(({ idempotent, hedge }) => idempotent || !hedge, {
    path: ['hedge'],
    error: 'only an idempotent kind may be hedged',
  })
  .transform(({ timeout_ms, target_latency_ms, max_attempts, ...others }) => {
    const { large_answers, large_bodies, ...rest } = others;
    return {
      ...rest,
      timeoutMs: timeout_ms,
      ...(target_latency_ms === undefined ? {} : { targetLatencyMs: target_latency_ms }),
      ...(max_attempts === undefined ? {} : { maxAttempts: max_attempts }),
      ...(large_answers === undefined ? {} : { largeAnswers: large_answers }),
      ...(large_bodies === undefined ? {} : { largeBodies: large_bodies }),
    };
  });

const limitsSchema = z
  .strictObject({
    kind: z.literal('limits'),
    name: nameSchema,
    max_header_bytes: z.int().min(1),
    max_body_bytes: z.int().min(0),
    header_timeout_ms: z.int().min(1).max(MAX_TIMEOUT_MS),
    idle_timeout_ms: z.int().min(1).max(MAX_TIMEOUT_MS),
  })
  .transform(({ kind, name, ...rest }) => ({
    kind,
    name,
    maxHeaderBytes: rest.max_header_bytes,
    maxBodyBytes: rest.max_body_bytes,
    headerTimeoutMs: rest.header_timeout_ms,
    idleTimeoutMs: rest.idle_timeout_ms,
  }));

const splitSchema = z.strictObject({
  kind: z.literal('split'),
  name: nameSchema,
  shares: z
    .array(
      z.strictObject({
        generation: buildIdSchema(parseGeneration),
        share: z.int().min(0).max(TOTAL_SHARE),
      }),
    )
    .refine(
      (shares) => shares.reduce((sum, { share }) => sum + share, 0) === TOTAL_SHARE,
      `the shares must add up to ${TOTAL_SHARE}`,
    )
    .refine(
      (shares) => new Set(shares.map(({ generation }) => generation)).size === shares.length,
      'each generation may stand only once',
    ),
});

/** Keys are kept as digests only, so a note that is read back names its keys by their digests. */
const clientAccountSchema = z
  .strictObject({
    kind: z.literal('client-account'),
    name: buildIdSchema(parseClientAccountName),
    keys: z.array(buildIdSchema(parseAccountKey)).max(MAX_KEYS_PER_ACCOUNT).default([]),
    worth: z.number().min(0).optional(),
    rate_per_second: z.number().min(0).optional(),
    burst: z.number().min(0).optional(),
  })
  .transform(({ keys, worth, rate_per_second, burst, ...rest }) => ({
    ...rest,
    keys: [...new Set(keys)].map(buildKeyDigest),
    ...(worth === undefined ? {} : { worth }),
    ...(rate_per_second === undefined ? {} : { ratePerSecond: rate_per_second }),
    ...(burst === undefined ? {} : { burst }),
  }));

const resourceSchema = z.discriminatedUnion('kind', [
  serviceSchema,
  routeSchema,
  requestKindSchema,
  splitSchema,
  limitsSchema,
  clientAccountSchema,
]);

const keySchema = z
  .strictObject({
    kind: z.enum(['service', 'route', 'request-kind', 'split', 'limits', 'client-account']),
    name: z.union([nameSchema, buildIdSchema<string>(parseClientAccountName)]),
  })
  .transform(({ kind, name }) => `${kind}/${name}` as ResourceKey);

const numberSchema = z.int().min(1).transform(parseNoteNumber);

const noteSchema = z
  .strictObject({
    number: numberSchema,
    title: z.string().min(1),
    generation: buildIdSchema(parseGeneration).optional(),
    supersedes: z.array(numberSchema).default([]),
    add: z.array(resourceSchema).default([]),
    change: z.array(resourceSchema).default([]),
    withdraw: z.array(keySchema).default([]),
  })
  .transform(({ generation, add, change, ...rest }, context): NoteDraft => {
    return {
      ...rest,
      ...(generation === undefined ? {} : { generation }),
      add: applyDefaultGeneration('add', add, generation, context),
      change: applyDefaultGeneration('change', change, generation, context),
    };
  });

const replacementSchema = z
  .strictObject({
    number: numberSchema,
    base: numberSchema.optional(),
    generation: buildIdSchema(parseGeneration).optional(),
    resources: z.array(resourceSchema).default([]),
  })
  .transform(({ number, base, generation, resources }, context) => {
    return {
      number,
      base,
      resources: applyDefaultGeneration('resources', resources, generation, context),
    };
  });

/** The duration is checked when the order is proposed, for every front. */
const rolloutOrderSchema = z
  .strictObject({ version: buildIdSchema(parseServerVersion), duration_ms: z.number() })
  .transform(({ version, duration_ms }) => ({ to: version, durationMs: duration_ms }));

/** Gives each route without a generation the default generation of its file. */
function applyDefaultGeneration(
  list: 'add' | 'change' | 'resources',
  resources: readonly ParsedResource[],
  generation: Generation | undefined,
  context: z.core.$RefinementCtx,
): Resource[] {
  return resources.flatMap((resource, index) => {
    if (resource.kind !== 'route') return resource;
    const effective = resource.generation ?? generation;
    if (effective !== undefined) return { ...resource, generation: effective };
    const message = 'missing; name a generation here or at the top of the note';
    context.addIssue({ code: 'custom', path: [list, index, 'generation'], message });
    return [];
  });
}

/** A parsed resource; a route may still lack a generation. */
type ParsedResource = z.output<typeof resourceSchema>;

function buildFaults(issue: z.core.$ZodIssue): NoteFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      place: formatPath([...issue.path, key]),
      message: 'unknown key; remove it or correct its spelling',
    }));
  }
  const message = issue.message.replace(MISSING_KEY_PATTERN, 'missing; expected $1');
  return [{ place: formatPath(issue.path), message }];
}

const MISSING_KEY_PATTERN = /^Invalid input: expected (.*), received undefined$/;

function formatPath(path: readonly PropertyKey[]): string {
  const parts = path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`));
  const place = parts.join('').replace(/^\./, '');
  return place === '' ? 'note' : place;
}
