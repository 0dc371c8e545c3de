/** The commands against a real process with the proxy and source roles. */
import { readdirSync } from 'node:fs';
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress, findFreePort, Mesh, waitFor } from '../bench/mesh.js';
import { FIRST_NOTE } from '../bench/small-mesh.js';

test('status and drain: reported, then refused calls', async (t) => {
  const mesh = new Mesh();
  t.teardown(() => mesh.stop());
  const [control, operator, calls, announce, status] = await Promise.all([
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
    findFreeAddress(),
  ]);
  mesh.createFolder('data');
  mesh.startProgram(
    'all',
    `host = "all"
region = "hu-central"
data_centre = "a"
roles = ["proxy", "source"]
control = "${control}"
status = "${status}"
data_folder = "data"
[proxy]
calls = "${calls}"
announce = "${announce}"
sources = ["${control}"]
[source]
operator = "${operator}"
token_file = "${mesh.writeFile('token', 'secret')}"
`,
  );
  mesh.startServer('catalogue', await findFreePort(), announce);
  const access = ['--operator', operator, '--token-file', `${mesh.folder}/token`];
  const run = async (...args: string[]) => {
    const { code, out, err } = await mesh.runCommand(args);
    t.is(code, 0, `${args.join(' ')}: ${out}${err}`);
    return out;
  };
  const sendCall = async () => {
    const answer = await request(`http://${calls}/catalogue/canopies`);
    await answer.body.dump();
    return { code: answer.statusCode, outcome: answer.headers['bilberryswitch-outcome'] };
  };

  await run('note', 'submit', mesh.writeFile('note.toml', FIRST_NOTE), ...access);
  t.regex(await run('note', 'wait', '1', ...access), /in force: 1 of 1 proxies hold it/);
  await waitFor('an answer', async () => ((await sendCall()).code === 200 ? true : undefined));
  t.like(JSON.parse(await run('status', '--address', status, '--json')), {
    source: { leading: true, version: 1, proxies: 1, holding: 1 },
    proxy: { version: 1 },
    members: { servers: { catalogue: { ready: 1 } } },
  });
  const explain = async (path: string): Promise<unknown> =>
    JSON.parse(await run('explain', '--address', status, '--path', path, '--json'));
  t.like(await explain('/catalogue/canopies'), {
    version: 1,
    services: [{ service: 'catalogue', share: 1, servers: [{ host: 'all', tier: 0 }] }],
  });
  t.like(await explain('/nowhere'), { version: 1, refusal: 'no-route' });
  const metrics = await request(`http://${status}/metrics`);
  t.is(metrics.statusCode, 200);
  await metrics.body.dump();

  await run('drain', '--address', announce);
  const refused = await waitFor('the drain', async () => {
    const answer = await sendCall();
    return answer.code === 200 ? undefined : answer;
  });
  t.deepEqual(refused, { code: 503, outcome: 'not-run' });
});

test('invalid settings: nothing is started', async (t) => {
  const mesh = new Mesh();
  t.teardown(() => mesh.stop());
  const path = mesh.writeFile('node.toml', 'host = "a"\ncolour = "red"\n');
  for (const command of ['run', 'check']) {
    const { code, out, err } = await mesh.runCommand([command, '--settings', path]);
    t.is(code, 2);
    t.is(out, '');
    t.regex(err, /node\.toml: colour: unknown key/);
  }
  t.deepEqual(readdirSync(mesh.folder), ['node.toml']);
});
