/** Reads release notes from TOML and checks them against a schema. */
import { parse, TomlError } from 'smol-toml';
import { z } from 'zod';
import type { Result } from '../errors.js';
import { makeError, makeOk } from '../errors.js';
import type { ResourceKey } from '../ids.js';
import {
  parseGeneration,
  parseNoteNumber,
  parseRequestKindName,
  parseServiceName,
} from '../ids.js';
import type { NoteDraft, NoteFault } from '../messages/index.js';

/** Reads a note; a failure lists every fault with its place in the file. */
export function readNote(text: string): Result<NoteDraft, readonly NoteFault[]> {
  let table: unknown;
  try {
    table = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    return makeError([
      { place: `line ${error.line}, column ${error.column}`, message: error.message },
    ]);
  }
  const checked = noteSchema.safeParse(table);
  if (checked.success) return makeOk(checked.data);
  return makeError(
    checked.error.issues.map((issue) => ({ place: formPlace(issue.path), message: issue.message })),
  );
}

// Internals.

const MAX_TIMEOUT_MS = 86_400_000;
const WHOLE_SHARE = 10_000;

function brandWith<T>(parseId: (text: string) => T) {
  return z.string().transform((text, context): T => {
    try {
      return parseId(text);
    } catch (error) {
      context.addIssue({ code: 'custom', message: (error as Error).message });
      return z.NEVER;
    }
  });
}

const nameSchema = brandWith<string>(parseServiceName);
const serviceSchema = z.strictObject({
  kind: z.literal('service'),
  name: brandWith(parseServiceName),
});

const routeSchema = z
  .strictObject({
    kind: z.literal('route'),
    name: nameSchema,
    generation: brandWith(parseGeneration),
    path_prefix: z.string().startsWith('/', 'expected an absolute path such as "/orders"'),
    method: z.string().regex(/^(\*|[A-Z]+)$/, 'expected a method in capitals, or "*"'),
    service: brandWith(parseServiceName),
    request_kind: brandWith(parseRequestKindName),
  })
  .transform(({ path_prefix, request_kind, ...rest }) => ({
    ...rest,
    pathPrefix: path_prefix,
    requestKind: request_kind,
  }));

const requestKindSchema = z
  .strictObject({
    kind: z.literal('request-kind'),
    name: brandWith(parseRequestKindName),
    idempotent: z.boolean(),
    worth: z.number().min(0),
    timeout_ms: z.int().min(1).max(MAX_TIMEOUT_MS),
    claim: z.boolean().default(false),
    hedge: z.boolean().default(false),
  })
  .transform(({ timeout_ms, ...rest }) => ({ ...rest, timeoutMs: timeout_ms }));

const splitSchema = z.strictObject({
  kind: z.literal('split'),
  name: nameSchema,
  shares: z
    .array(
      z.strictObject({
        generation: brandWith(parseGeneration),
        share: z.int().min(0).max(WHOLE_SHARE),
      }),
    )
    .refine(
      (shares) => shares.reduce((sum, { share }) => sum + share, 0) === WHOLE_SHARE,
      `the shares must add up to ${WHOLE_SHARE}`,
    ),
});

const resourceSchema = z.discriminatedUnion('kind', [
  serviceSchema,
  routeSchema,
  requestKindSchema,
  splitSchema,
]);

const keySchema = z
  .strictObject({ kind: z.enum(['service', 'route', 'request-kind', 'split']), name: nameSchema })
  .transform(({ kind, name }) => `${kind}/${name}` as ResourceKey);

const numberSchema = z.int().min(1).transform(parseNoteNumber);

const noteSchema = z.strictObject({
  number: numberSchema,
  title: z.string().min(1),
  supersedes: z.array(numberSchema).default([]),
  add: z.array(resourceSchema).default([]),
  change: z.array(resourceSchema).default([]),
  withdraw: z.array(keySchema).default([]),
});

function formPlace(path: readonly PropertyKey[]): string {
  const parts = path.map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`));
  const place = parts.join('').replace(/^\./, '');
  return place === '' ? 'note' : place;
}
