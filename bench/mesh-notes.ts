/** Release notes for the demonstration, the fault injection and the benchmarks. */

/** A request kind to add, with its service. */
export interface RequestKindPlan {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly worth: number;
  readonly claim: boolean;
}

/** The services of Napernyő, each with its most important request kind. */
export const NAPERNYO_KINDS: readonly RequestKindPlan[] = [
  { name: 'browse', service: 'catalogue', idempotent: true, worth: 1, claim: false },
  { name: 'deposit', service: 'orders', idempotent: false, worth: 50, claim: true },
  { name: 'drawing', service: 'drawings', idempotent: true, worth: 8, claim: false },
  { name: 'quote', service: 'jobs', idempotent: true, worth: 4, claim: false },
];

/** Returns the TOML text of a note that adds each request kind, its service, and a route at `/SERVICE`. */
export function buildKindsNote(
  number: number,
  generation: string,
  kinds: readonly RequestKindPlan[],
): string {
  const head = `number = ${number}\ntitle = "Services of the ${generation} mesh"\n`;
  return head + kinds.map((kind) => buildKind(kind, generation)).join('');
}

/**
 * Returns the TOML text of a note that adds a route with a unique path to the catalogue, so that every
 * version differs.
 */
export function buildExtraRouteNote(number: number): string {
  return `number = ${number}
title = "Season ${number}"

[[add]]
kind = "route"
name = "season-${number}"
generation = "old"
path_prefix = "/season-${number}"
method = "GET"
service = "catalogue"
request_kind = "browse"
`;
}

/** Returns the TOML text of a note that adds an idempotent request kind and a route for each service. */
export function buildServicesNote(number: number, services: readonly string[]): string {
  const kinds = services.map((service) => ({
    name: `read-${service}`,
    service,
    idempotent: true,
    worth: 1,
    claim: false,
  }));
  return buildKindsNote(number, 'old', kinds);
}

// Internals.

function buildKind(kind: RequestKindPlan, generation: string): string {
  return `
[[add]]
kind = "service"
name = "${kind.service}"

[[add]]
kind = "request-kind"
name = "${kind.name}"
idempotent = ${kind.idempotent}
worth = ${kind.worth.toFixed(1)}
timeout_ms = 4000
claim = ${kind.claim}

[[add]]
kind = "route"
name = "${kind.service}"
generation = "${generation}"
path_prefix = "/${kind.service}"
method = "*"
service = "${kind.service}"
request_kind = "${kind.name}"
`;
}
