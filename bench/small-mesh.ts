/** A mesh of one source, two proxies and a backend server beside each, all on loopback. */
import { findFreeAddress, findFreePort, Mesh, waitFor } from './mesh.js';
import type { MeshProcess } from './mesh.js';

/** The addresses of a running small mesh. */
export interface SmallMesh {
  readonly mesh: Mesh;
  readonly operator: string;
  readonly tokenFile: string;
  /** Where callers reach each proxy. */
  readonly calls: readonly string[];
  readonly announces: readonly string[];
  /** The source, then the proxies. */
  readonly nodes: readonly MeshProcess[];
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
 * Starts the mesh and waits until every process runs; the first proxies have servers beside them.
 * `proxyLines` are further settings of the section `[proxy]`.
 */
export async function startSmallMesh(
  proxyCount = 2,
  serverCount = proxyCount,
  proxyLines = '',
): Promise<SmallMesh> {
  const mesh = new Mesh();
  const sourceControl = await findFreeAddress();
  const operator = await findFreeAddress();
  const tokenFile = mesh.writeFile('token', 'test-token');
  mesh.makeFolder('data');
  const nodes = [mesh.startNode('source', formSource(sourceControl, operator))];
  const calls: string[] = [];
  const announces: string[] = [];
  for (let index = 0; index < proxyCount; index += 1) {
    const [control, call, announce] = [
      await findFreeAddress(),
      await findFreeAddress(),
      await findFreeAddress(),
    ];
    calls.push(call);
    announces.push(announce);
    const settings = formProxy(`proxy-${index}`, control, call, announce, sourceControl);
    const withLines = `${settings}${proxyLines}\n`;
    nodes.push(mesh.startNode(`proxy-${index}`, withLines));
    if (index < serverCount) mesh.startServer('catalogue', await findFreePort(), announce);
  }
  for (const node of nodes) {
    await waitFor(`${node.name} to start`, () => node.output().includes('"started"') || undefined);
  }
  return { mesh, operator, tokenFile, calls, announces, nodes };
}

// Internals.

function formSource(control: string, operator: string): string {
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

function formProxy(
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
