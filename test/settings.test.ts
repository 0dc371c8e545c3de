/** Settings: each fault has a message with file, key and expected value. */
import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import type { Address } from '../src/ids.js';
import { loadSettings, SettingsError } from '../src/program/settings.js';

const folder = mkdtempSync(join(tmpdir(), 'bilberryswitch-settings-'));
mkdirSync(join(folder, 'data'));
writeFileSync(join(folder, 'token'), 'secret\n');
writeFileSync(join(folder, 'empty'), '\n');
test.after.always(() => {
  rmSync(folder, { recursive: true });
});

const VALID_SETTINGS = `host = "source-0"
region = "hu-central"
data_centre = "a"
roles = ["proxy", "source"]
control = "10.0.0.1:7000"
status = "127.0.0.1:7004"
data_folder = "data"

[proxy]
calls = "10.0.0.1:7001"
announce = "127.0.0.1:7002"
sources = ["10.0.0.1:7000"]

[source]
operator = "10.0.0.1:7003"
token_file = "token"
wait_limit_ms = 5000
`;

const FAULT_CASES: readonly (readonly [name: string, from: string, to: string, message: RegExp])[] =
  [
    ['unknown key', 'host =', 'colour = 1\nhost =', /colour: unknown key; remove it/],
    ['unknown section key', 'sources =', 'x = 1\nsources =', /proxy\.x: unknown key/],
    ['no unit', 'wait_limit_ms', 'wait_limit', /source\.wait_limit: .*write wait_limit_ms/],
    ['wrong unit key', 'wait_limit_ms', 'wait_limit_s', /source\.wait_limit_s: .*wait_limit_ms/],
    ['unit in value', '5000', '"5s"', /source\.wait_limit_ms: .*whole number of milliseconds/],
    ['host name', '10.0.0.1:7001', 'mesh.example:7001', /proxy\.calls: .*IP number/],
    ['no port', '10.0.0.1:7001', '10.0.0.1', /proxy\.calls: .*IP number and a port/],
    ['port zero', '10.0.0.1:7001', '10.0.0.1:0', /proxy\.calls: .*port from 1/],
    ['bad IPv6', '10.0.0.1:7001', '[:::::]:7001', /proxy\.calls: .*IP number/],
    ['wildcard control', '"10.0.0.1:7000"\ns', '"0.0.0.0:7000"\ns', /control: an IP number that/],
    [
      'equal addresses',
      '10.0.0.1:7001',
      '10.0.0.1:7003',
      /source\.operator: .*taken by proxy\.calls/,
    ],
    [
      'wildcard clash',
      '127.0.0.1:7002',
      '0.0.0.0:7001',
      /proxy\.announce: .*taken by proxy\.calls/,
    ],
    ['no folder key', 'data_folder = "data"', '', /data_folder: the role "source" needs/],
    ['no folder', '"data"', '"absent"', /data_folder: .*absent must exist/],
    ['folder is file', '"data"', '"token"', /data_folder: .*token is no folder/],
    ['role twice', '["proxy", ', '["source", "proxy", ', /roles: "source" stands 2 times/],
    ['role without section', '"source"]', '"source", "ledger"]', /ledger: .*needs a section/],
    ['section without role', '["proxy", ', '[', /proxy: the section \[proxy\] needs "proxy"/],
    ['unknown role', '"source"]', '"sauce"]', /roles\.1: /],
    ['no token file', '"token"', '"absent"', /source\.token_file: .*cannot be read/],
    ['empty token', '"token"', '"empty"', /source\.token_file: .*is empty/],
    [
      'two replicas',
      'token_file',
      'replicas = ["10.0.0.1:7000", "10.0.0.2:7000"]\ntoken_file',
      /source\.replicas: expected .* 1, 3 or 5/,
    ],
    [
      'not a replica',
      'token_file',
      'replicas = ["10.0.0.2:7000"]\ntoken_file',
      /source\.replicas: this process too/,
    ],
    [
      'replicas and growth',
      'token_file',
      'replicas = ["10.0.0.1:7000"]\ngrowth = { seeds = ["10.0.0.1:7000"], tolerated_losses = 0 }\ntoken_file',
      /source\.growth: expected either fixed replicas or growth/,
    ],
    [
      'growth without losses',
      'token_file',
      'growth = { seeds = ["10.0.0.1:7000"] }\ntoken_file',
      /source\.growth\.tolerated_losses: /,
    ],
    [
      'no source',
      'sources = ["10.0.0.1:7000"]',
      '',
      /proxy\.sources: expected the control address/,
    ],
    ['bad seed port', 'roles =', 'seed_port = 70000\nroles =', /seed_port: /],
    [
      'shared clash',
      'announce =',
      'ready = "10.0.0.1:7001"\nannounce =',
      /proxy\.ready: .*taken by/,
    ],
    [
      'hedging above 1',
      '[source]',
      '[proxy.hedging]\nshare = 1.5\n[source]',
      /proxy\.hedging\.share: /,
    ],
    ['unknown policy', '[source]', '[spread]\npolicy = "fast"\n[source]', /spread\.policy: /],
    [
      'bad trace URL',
      '[source]',
      '[traces]\notlp_url = "10.0.0.9"\n[source]',
      /traces\.otlp_url: expected a URL/,
    ],
    ['bad TOML', 'host =', 'host', /line 1, column \d+: /],
  ];

test('valid settings: loaded', (t) => {
  const settings = load(VALID_SETTINGS);
  t.is(settings.source?.tokenFile, join(folder, 'token'));
  t.is(settings.source?.waitLimitMs, 5000);
  t.is(settings.spread.policy, 'convergence-time');
});

test('settings: hedging is off without a share', (t) => {
  t.is(load(VALID_SETTINGS).proxy?.hedging.share, 0);
  const text = VALID_SETTINGS.replace('[source]', '[proxy.hedging]\nshare = 0.05\n[source]');
  t.is(load(text).proxy?.hedging.share, 0.05);
});

test('settings: seed_port replaces the port of seeds', (t) => {
  const seeds = 'seeds = ["10.0.0.5:9999"]';
  const growth = `growth = { ${seeds}, tolerated_losses = 2 }`;
  const text = VALID_SETTINGS.replace('roles =', 'seed_port = 7000\nroles =')
    .replace('sources = ["10.0.0.1:7000"]', seeds)
    .replace('token_file = "token"', growth);
  const { proxy, source } = load(text);
  t.deepEqual(proxy?.seeds, ['10.0.0.5:7000' as Address]);
  t.deepEqual(source?.seeds, ['10.0.0.5:7000' as Address]);
  t.like(source?.growth, { founds: false, minVoters: 5, maxVoters: 7 });
  t.is(source?.tokenFile, undefined);
});

test('settings: silent voter is replaced within the time to catch up', (t) => {
  const growth =
    'growth = { seeds = ["10.0.0.5:9999"], tolerated_losses = 2, catch_up_seconds = 6 }';
  const { source } = load(VALID_SETTINGS.replace('token_file = "token"', growth));
  t.is(source?.growth?.replaceAfterMs, 3_000);
});

test('settings: filled templates of deploy/ are valid', (t) => {
  const fields: Readonly<Record<string, string>> = {
    'node|json': '"sidecar-a-1"',
    'region|json': '"r"',
    'zone|json': '"a"',
    'service|json': '"shop"',
    'dataDir|json': JSON.stringify(join(folder, 'data')),
    ip: '10.0.0.1',
    'internalPortRange.0': '7620',
    'internalPortRange.1': '7621',
    'listen.outbound|json': '"10.0.0.1:8304"',
    'listen.inbound|json': '"10.0.0.1:8300"',
    'listen.ready|json': '"10.0.0.1:8302"',
    'listen.control|json': '"10.0.0.1:8306"',
    bootstrap: 'true',
    'faultTolerance.machines': '2',
  };
  for (const name of ['proxy', 'source']) {
    const template = readFileSync(join('deploy', `${name}.toml`), 'utf8');
    const text = template
      .replace(/\{\{#seeds\}\}.*\{\{\/seeds\}\}/, '"10.0.0.2:8306"')
      .replace(/\{\{#bounds\.strictRevocation\}\}(.*)\{\{\/bounds\.strictRevocation\}\}/, '$1')
      .replace(
        /\{\{#(?:bounds|limits)\.(\w+)\}\}(.*)\{\{\.\}\}\{\{\/(?:bounds|limits)\.\w+\}\}/g,
        '$20.5',
      )
      .replace(/\{\{([^#/}]+)\}\}/g, (_, key: string) => fields[key] ?? `no ${key}`);
    const settings = load(text);
    t.is(settings.control, '10.0.0.1:7620' as Address);
    t.deepEqual(settings[name as 'proxy' | 'source']?.seeds, ['10.0.0.2:7620' as Address]);
  }
});

for (const [name, from, to, message] of FAULT_CASES) {
  test(`settings: ${name}`, (t) => {
    t.true(VALID_SETTINGS.includes(from));
    const error = t.throws(() => load(VALID_SETTINGS.replace(from, to)), {
      instanceOf: SettingsError,
    });
    t.regex(error.message, message);
    t.true(error.message.startsWith(join(folder, 'node.toml')));
    t.deepEqual(readdirSync(join(folder, 'data')), []);
  });
}

test('settings: all faults are reported at once', (t) => {
  const text = VALID_SETTINGS.replace('"token"', '"absent"').replace('"data"', '"absent"');
  const error = t.throws(() => load(text), { instanceOf: SettingsError });
  t.is(error.faults.length, 2);
});

function load(text: string) {
  const path = join(folder, 'node.toml');
  writeFileSync(path, text);
  return loadSettings(path);
}
