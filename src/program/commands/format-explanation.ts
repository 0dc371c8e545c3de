/** Formats the explanation of a call for people. */
import type { CallExplanation, ExplainedServer, ExplainedService } from '../../messages/index.js';

/** Formats the route, then each service with its servers. */
export function formatExplanation(explanation: CallExplanation): string {
  const { version, refusal, route, requestKind, account, worth, timeoutMs, services } = explanation;
  const lines = [`version: ${version ?? 'none'}`];
  if (refusal !== undefined) return [...lines, `refused, not run: ${refusal}`].join('\n');
  lines.push(`route: ${route ?? 'none'}`, `request kind: ${requestKind ?? 'none'}`);
  lines.push(`account: ${account ?? 'none'}`);
  lines.push(`worth: ${worth ?? 0}`, `time until the deadline: ${timeoutMs ?? 0} ms`);
  return [...lines, ...services.flatMap(formatService)].join('\n');
}

// Internals.

const TIERS = ['own host', 'own data centre', 'own region', 'elsewhere'];

function formatService({ service, share, refusal, servers }: ExplainedService): string[] {
  const title = `service ${service}, ${(share * 100).toFixed(1)} % of the calls`;
  const verdict = refusal === undefined ? [] : [`  refused, not run: ${refusal}`];
  return [title, ...verdict, ...servers.map(formatServer)];
}

function formatServer(server: ExplainedServer): string {
  const { cost, excluded, load, runMs, silentMs, tier } = server;
  const verdict = cost === undefined ? (excluded ?? 'not used') : `cost ${cost.toFixed(2)}`;
  const run = runMs === undefined ? 'run time unknown' : `runs take ${runMs.toFixed(0)} ms`;
  const silence = silentMs === 0 ? '' : `, silent for ${silentMs} ms`;
  const usage = `${Math.round(load * 100)} % of the slots`;
  return `  ${server.server} on ${server.host} (${TIERS[tier] ?? tier}): ${verdict}; ${usage}, ${run}${silence}`;
}
