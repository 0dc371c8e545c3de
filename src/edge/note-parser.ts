/** Reads release notes from TOML or JSON and checks them against a schema. */
import { createHash } from 'node:crypto';
import { parse, TomlError } from 'smol-toml';
import { z } from 'zod';
import type { Result } from '../errors.js';
import { makeError, makeOk } from '../errors.js';
import type { Digest, Generation, ResourceKey } from '../ids.js';
import {
  parseGeneration,
  parseNoteNumber,
  parseRequestKindName,
  parseServiceName,
} from '../ids.js';
import type { NoteDraft, NoteFault, Replacement, Resource } from '../messages/index.js';
import { MAX_TIMEOUT_MS } from '../notes/index.js';
import { formIdSchema } from './id-schema.js';

/** How a note is written down. Both forms have the same keys. */
export type NoteFormat = 'toml' | 'json';

/** Reads a note; a failure lists every fault with its place in the file. */
export function readNote(
  text: string,
  format: NoteFormat = 'toml',
): Result<NoteDraft, readonly NoteFault[]> {
  const table = format === 'toml' ? parseToml(text) : parseJson(text);
  if (!table.ok) return table;
  const checked = noteSchema.safeParse(table.value);
  if (checked.success) return makeOk(checked.data);
  return makeError(checked.error.issues.flatMap((issue) => formFaults(issue)));
}

/**
 * Reads a whole configuration that shall replace the present one: its number, the number that it was
 * made from, and every resource.
 */
export function readReplacement(
  text: string,
  format: NoteFormat = 'toml',
): Result<Replacement, readonly NoteFault[]> {
  const table = format === 'toml' ? parseToml(text) : parseJson(text);
  if (!table.ok) return table;
  const checked = replacementSchema.safeParse(table.value);
  if (!checked.success)
    return makeError(checked.error.issues.flatMap((issue) => formFaults(issue)));
  const { number, base, resources } = checked.data;
  const digest = createHash('sha256').update(text).digest('hex') as Digest;
  return makeOk({ number, base, resources, document: Buffer.from(text), digest });
}

// Internals.

const WHOLE_SHARE = 10_000;
const PATH_PATTERN = /^\/$|^(\/[^/?#\s]+)+$/;

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

const nameSchema = formIdSchema<string>(parseServiceName);
const serviceSchema = z
  .strictObject({
    kind: z.literal('service'),
    name: formIdSchema(parseServiceName),
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
  service: formIdSchema(parseServiceName),
  weight: z.number().min(0),
});

const routeSchema = z
  .strictObject({
    kind: z.literal('route'),
    name: nameSchema,
    generation: formIdSchema(parseGeneration).optional(),
    host: z.string().min(1).toLowerCase().optional(),
    path_prefix: z.string().startsWith('/', 'expected an absolute path such as "/orders"'),
    method: z.string().regex(/^(\*|[A-Z]+)$/, 'expected a method in capitals, or "*"'),
    service: formIdSchema(parseServiceName),
    targets: z.array(targetSchema).min(1).optional(),
    request_kind: formIdSchema(parseRequestKindName),
  })
  .refine(({ host, path_prefix }) => host !== undefined || PATH_PATTERN.test(path_prefix), {
    path: ['path_prefix'],
    error: 'expected an absolute path such as "/orders", without a slash at its end',
  })
  .refine(({ service, targets }) => targets === undefined || targets[0]?.service === service, {
    path: ['targets'],
    error: 'the first target must be the service of the route',
  })
  .transform(({ host, targets, path_prefix, request_kind, ...rest }) => ({
    ...rest,
    ...(host === undefined ? {} : { host }),
    ...(targets === undefined ? {} : { targets }),
    pathPrefix: path_prefix,
    requestKind: request_kind,
  }));

const requestKindSchema = z
  .strictObject({
    kind: z.literal('request-kind'),
    name: formIdSchema(parseRequestKindName),
    idempotent: z.boolean(),
    worth: z.number().min(0),
    timeout_ms: z.int().min(1).max(MAX_TIMEOUT_MS),
    claim: z.boolean().default(false),
    hedge: z.boolean().default(false),
    target_latency_ms: z.int().min(1).max(MAX_TIMEOUT_MS).optional(),
    max_attempts: z.int().min(1).optional(),
    large_answers: z.boolean().optional(),
  })
  .refine(({ idempotent, hedge }) => idempotent || !hedge, {
    path: ['hedge'],
    error: 'only an idempotent kind may be hedged',
  })
  .transform(({ timeout_ms, target_latency_ms, max_attempts, large_answers, ...rest }) => ({
    ...rest,
    timeoutMs: timeout_ms,
    ...(target_latency_ms === undefined ? {} : { targetLatencyMs: target_latency_ms }),
    ...(max_attempts === undefined ? {} : { maxAttempts: max_attempts }),
    ...(large_answers === undefined ? {} : { largeAnswers: large_answers }),
  }));

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
        generation: formIdSchema(parseGeneration),
        share: z.int().min(0).max(WHOLE_SHARE),
      }),
    )
    .refine(
      (shares) => shares.reduce((sum, { share }) => sum + share, 0) === WHOLE_SHARE,
      `the shares must add up to ${WHOLE_SHARE}`,
    )
    .refine(
      (shares) => new Set(shares.map(({ generation }) => generation)).size === shares.length,
      'each generation may stand only once',
    ),
});

const resourceSchema = z.discriminatedUnion('kind', [
  serviceSchema,
  routeSchema,
  requestKindSchema,
  splitSchema,
  limitsSchema,
]);

const keySchema = z
  .strictObject({
    kind: z.enum(['service', 'route', 'request-kind', 'split', 'limits']),
    name: nameSchema,
  })
  .transform(({ kind, name }) => `${kind}/${name}` as ResourceKey);

const numberSchema = z.int().min(1).transform(parseNoteNumber);

const noteSchema = z
  .strictObject({
    number: numberSchema,
    title: z.string().min(1),
    generation: formIdSchema(parseGeneration).optional(),
    supersedes: z.array(numberSchema).default([]),
    add: z.array(resourceSchema).default([]),
    change: z.array(resourceSchema).default([]),
    withdraw: z.array(keySchema).default([]),
  })
  .transform(({ generation, add, change, ...rest }, context): NoteDraft => {
    return {
      ...rest,
      ...(generation === undefined ? {} : { generation }),
      add: addGenerations('add', add, generation, context),
      change: addGenerations('change', change, generation, context),
    };
  });

const replacementSchema = z
  .strictObject({
    number: numberSchema,
    base: numberSchema.optional(),
    generation: formIdSchema(parseGeneration).optional(),
    resources: z.array(resourceSchema).default([]),
  })
  .transform(({ number, base, generation, resources }, context) => {
    return { number, base, resources: addGenerations('resources', resources, generation, context) };
  });

/** Routes without a generation of their own take over that of their file. */
function addGenerations(
  list: 'add' | 'change' | 'resources',
  resources: readonly ReadResource[],
  generation: Generation | undefined,
  context: z.core.$RefinementCtx,
): Resource[] {
  return resources.flatMap((resource, index) => {
    if (resource.kind !== 'route') return resource;
    const own = resource.generation ?? generation;
    if (own !== undefined) return { ...resource, generation: own };
    const message = 'missing; name a generation here or at the top of the note';
    context.addIssue({ code: 'custom', path: [list, index, 'generation'], message });
    return [];
  });
}

/** A resource before a route takes over the generation of its note. */
type ReadResource = z.output<typeof resourceSchema>;

function formFaults(issue: z.core.$ZodIssue): NoteFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      place: formPlace([...issue.path, key]),
      message: 'unknown key; remove it or correct its spelling',
    }));
  }
  const message = issue.message.replace(MISSING_PATTERN, 'missing; expected $1');
  return [{ place: formPlace(issue.path), message }];
}

const MISSING_PATTERN = /^Invalid input: expected (.*), received undefined$/;

function formPlace(path: readonly PropertyKey[]): string {
  const parts = path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`));
  const place = parts.join('').replace(/^\./, '');
  return place === '' ? 'note' : place;
}
