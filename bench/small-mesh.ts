/** A mesh on loopback with one source and, by default, two proxies, each with a backend server. */
import { findFreeAddress, findFreePort, Mesh, waitFor } from './mesh.js';
import type { MeshProcess } from './mesh.js';

/** The processes and addresses of a running small mesh. */
export interface SmallMesh {
  readonly mesh: Mesh;
  readonly operator: string;
  readonly tokenFile: string;
  /** The address of each proxy for calls. */
  readonly calls: readonly string[];
  readonly announceAddresses: readonly string[];
  /** The source followed by the proxies. */
  readonly processes: readonly MeshProcess[];
}

/** A note that adds one service, one request kind and one route. */
export const FIRST_NOTE = `number = 1
title = "Catalogue of the old mesh"

[[add]]
kind = "service"
name = "catalogue"

[[add]]
kind = "request-kind"
name = "browse"
idempotent = true
worth = 1.0
timeout_ms = 2000

[[add]]
kind = "route"
name = "catalogue"
generation = "old"
path_prefix = "/catalogue"
method = "*"
service = "catalogue"
request_kind = "browse"
`;

/**
 * Starts the mesh and waits until every process has logged its start. The first `serverCount` proxies have a
 * backend server. `proxySettings` and `sourceSettings` are additional lines of the settings sections `[proxy]` and
 * `[source]`.
 */
export async function startSmallMesh(
  proxyCount = 2,
  serverCount = proxyCount,
  proxySettings = '',
  sourceSettings = '',
): Promise<SmallMesh> {
  const mesh = new Mesh();
  const sourceControl = await findFreeAddress();
  const operator = await findFreeAddress();
  const tokenFile = mesh.writeFile('token', 'test-token');
  mesh.createFolder('data');
  const source = `${buildSource(sourceControl, operator)}${sourceSettings}\n`;
  const processes = [mesh.startProgram('source', source)];
  const calls: string[] = [];
  const announceAddresses: string[] = [];
  for (let index = 0; index < proxyCount; index += 1) {
    const [control, call, announce] = [
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
    ];
    calls.push(call);
    announceAddresses.push(announce);
    const settings = buildProxy(`proxy-${index}`, control, call, announce, sourceControl);
    const allSettings = `${settings}${proxySettings}\n`;
    processes.push(mesh.startProgram(`proxy-${index}`, allSettings));
    if (index < serverCount) mesh.startServer('catalogue', await findFreePort(), announce);
  }
  for (const node of processes) {
    await waitFor(`${node.name} to start`, () => node.output().includes('"started"') || undefined);
  }
  return { mesh, operator, tokenFile, calls, announceAddresses, processes };
}

// Internals.

function buildSource(control: string, operator: string): string {
  return `host = "source-0"
region = "hu-central"
data_centre = "a"
roles = ["source"]
control = "${control}"
data_folder = "data"

[source]
operator = "${operator}"
token_file = "token"
`;
}

function buildProxy(
  host: string,
  control: string,
  calls: string,
  announce: string,
  source: string,
): string {
  return `host = "${host}"
region = "hu-central"
data_centre = "a"
roles = ["proxy"]
control = "${control}"

[proxy]
calls = "${calls}"
announce = "${announce}"
sources = ["${source}"]
`;
}
