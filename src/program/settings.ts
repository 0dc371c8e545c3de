/**
 * Settings: read from TOML, checked before anything is started.
 *
 * Each section has a schema of its own in `settings/`; this module composes them.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { parse, TomlError } from 'smol-toml';
import { z } from 'zod';
import type { Address, DataCentreId, HostId, RegionId } from '../ids.js';
import {
  parseAddress,
  parseDataCentreId,
  parseHostId,
  parseRegionId,
  splitAddress,
} from '../ids.js';
import { formIdSchema } from '../edge/index.js';
import { checkSettings } from './settings/check-settings.js';
import type { LedgerSettings } from './settings/ledger-settings.js';
import { ledgerSchema } from './settings/ledger-settings.js';
import type { ProxySettings } from './settings/proxy-settings.js';
import { proxySchema } from './settings/proxy-settings.js';
import { addressSchema, pathSchema } from './settings/schema-parts.js';
import { formFaults, SettingsError } from './settings/settings-fault.js';
import type { SourceSettings } from './settings/source-settings.js';
import { sourceSchema } from './settings/source-settings.js';
import type { SpreadSettings } from './settings/distribution-settings.js';
import { spreadSchema } from './settings/distribution-settings.js';
import type { TracesSettings } from './settings/traces-settings.js';
import { tracesSchema } from './settings/traces-settings.js';

export { SettingsError } from './settings/settings-fault.js';
export type { LedgerSettings } from './settings/ledger-settings.js';
export type { ProxySettings } from './settings/proxy-settings.js';
export type { SourceSettings } from './settings/source-settings.js';
export type { SpreadPolicyName, SpreadSettings } from './settings/distribution-settings.js';
export type { TracesSettings } from './settings/traces-settings.js';

/** What a process does. */
export type Role = 'proxy' | 'source' | 'ledger';

/** How much a process logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Checked settings of one process. Paths are absolute. */
export interface Settings {
  readonly host: HostId;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly roles: readonly Role[];
  /** The address at which this process listens for links of other processes. */
  readonly control: Address;
  /** Where it listens, when others reach it by a different address, as behind a forwarder. */
  readonly bind: Address;
  /** Where this process serves its status and metrics; nowhere without it. */
  readonly status: Address | undefined;
  readonly logLevel: LogLevel;
  readonly dataFolder: string | undefined;
  readonly spread: SpreadSettings;
  readonly traces: TracesSettings;
  readonly proxy: ProxySettings | undefined;
  readonly source: SourceSettings | undefined;
  readonly ledger: LedgerSettings | undefined;
}

/**
 * Reads and checks a settings file. It writes nothing and starts nothing.
 *
 * @throws {@link SettingsError} with every fault that was found.
 */
export function loadSettings(path: string): Settings {
  const checked = settingsSchema.safeParse(readTable(path));
  if (!checked.success) {
    const faults = checked.error.issues.flatMap((issue) => formFaults(issue, settingsSchema));
    throw new SettingsError(path, faults);
  }
  const settings = resolvePaths(checked.data, dirname(resolve(path)));
  const faults = checkSettings(settings);
  if (faults.length > 0) throw new SettingsError(path, faults);
  return settings;
}

// Internals.

const MAX_PORT = 65_535;

const settingsSchema = z.strictObject({
  host: formIdSchema(parseHostId),
  region: formIdSchema(parseRegionId),
  data_centre: formIdSchema(parseDataCentreId),
  roles: z.array(z.enum(['proxy', 'source', 'ledger'])).min(1, 'expected at least one role'),
  control: addressSchema,
  bind: addressSchema.optional(),
  seed_port: z.int().min(1).max(MAX_PORT).optional(),
  status: addressSchema.optional(),
  log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  data_folder: pathSchema.optional(),
  spread: spreadSchema.prefault({}),
  traces: tracesSchema.prefault({}),
  proxy: proxySchema.optional(),
  source: sourceSchema.optional(),
  ledger: ledgerSchema.optional(),
});

function readTable(path: string): unknown {
  try {
    return parse(readFileSync(path, 'utf8'));
  } catch (error) {
    const message = (error as Error).message;
    if (!(error instanceof TomlError)) {
      throw new SettingsError(path, [{ key: 'file', expected: message }]);
    }
    const key = `line ${error.line}, column ${error.column}`;
    throw new SettingsError(path, [{ key, expected: message }]);
  }
}

function resolvePaths(table: z.output<typeof settingsSchema>, folder: string): Settings {
  const { data_centre, log_level, data_folder, seed_port, source, proxy, ...rest } = table;
  const findSeeds = (seeds: readonly Address[]) => seeds.map((seed) => formSeed(seed, seed_port));
  return {
    ...rest,
    status: table.status,
    bind: table.bind ?? table.control,
    proxy: proxy && { ...proxy, seeds: findSeeds(proxy.seeds) },
    ledger: table.ledger,
    dataCentre: data_centre,
    logLevel: log_level,
    dataFolder: data_folder === undefined ? undefined : resolve(folder, data_folder),
    source: source && {
      ...source,
      seeds: findSeeds(source.seeds),
      tokenFile: source.tokenFile === undefined ? undefined : resolve(folder, source.tokenFile),
    },
  };
}

/** Seeds may be named by another address of theirs; all control addresses then have the same port. */
function formSeed(address: Address, port: number | undefined): Address {
  if (port === undefined) return address;
  const { host } = splitAddress(address);
  return parseAddress(host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`);
}
