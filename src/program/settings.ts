/**
 * Settings of a process, read from TOML and validated before anything starts.
 *
 * Each section has its own schema in `settings/`; this module combines them.
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
import { buildIdSchema } from '../edge/index.js';
import { checkSettings } from './settings/check-settings.js';
import type { LedgerSettings } from './settings/ledger-settings.js';
import { ledgerSchema } from './settings/ledger-settings.js';
import type { ProxySettings } from './settings/proxy-settings.js';
import { proxySchema } from './settings/proxy-settings.js';
import { addressSchema, pathSchema } from './settings/schema-parts.js';
import { buildFaults, SettingsError } from './settings/settings-fault.js';
import type { SourceSettings } from './settings/source-settings.js';
import { sourceSchema } from './settings/source-settings.js';
import type { DistributionSettings } from './settings/distribution-settings.js';
import { distributionSchema } from './settings/distribution-settings.js';
import type { TracesSettings } from './settings/traces-settings.js';
import { tracesSchema } from './settings/traces-settings.js';

export { SettingsError } from './settings/settings-fault.js';
export type { LedgerSettings } from './settings/ledger-settings.js';
export type { ProxySettings } from './settings/proxy-settings.js';
export type { SourceSettings } from './settings/source-settings.js';
export type {
  DistributionPolicyName,
  DistributionSettings,
} from './settings/distribution-settings.js';
export type { TracesSettings } from './settings/traces-settings.js';

/** A role of a process. */
export type Role = 'proxy' | 'source' | 'ledger';

/** The minimum level of log lines. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Validated settings of one process. Paths are absolute. */
export interface Settings {
  readonly host: HostId;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly roles: readonly Role[];
  /** The address at which other processes reach this one for control links. */
  readonly control: Address;
  /** The address to listen at; differs from `control` behind a port forwarder. */
  readonly bind: Address;
  /** The address that serves status and metrics; undefined serves neither. */
  readonly status: Address | undefined;
  readonly logLevel: LogLevel;
  readonly dataFolder: string | undefined;
  readonly spread: DistributionSettings;
  readonly traces: TracesSettings;
  readonly proxy: ProxySettings | undefined;
  readonly source: SourceSettings | undefined;
  readonly ledger: LedgerSettings | undefined;
}

/**
 * Reads and validates a settings file. Writes nothing and starts nothing.
 *
 * @throws {@link SettingsError} with all faults found.
 */
export function loadSettings(path: string): Settings {
  const checked = settingsSchema.safeParse(readTable(path));
  if (!checked.success) {
    const faults = checked.error.issues.flatMap((issue) => buildFaults(issue, settingsSchema));
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
  host: buildIdSchema(parseHostId),
  region: buildIdSchema(parseRegionId),
  data_centre: buildIdSchema(parseDataCentreId),
  roles: z.array(z.enum(['proxy', 'source', 'ledger'])).min(1, 'expected at least one role'),
  control: addressSchema,
  bind: addressSchema.optional(),
  seed_port: z.int().min(1).max(MAX_PORT).optional(),
  status: addressSchema.optional(),
  log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  data_folder: pathSchema.optional(),
  spread: distributionSchema.prefault({}),
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
  const buildSeeds = (seeds: readonly Address[]) => seeds.map((seed) => buildSeed(seed, seed_port));
  return {
    ...rest,
    status: table.status,
    bind: table.bind ?? table.control,
    proxy: proxy && { ...proxy, seeds: buildSeeds(proxy.seeds) },
    ledger: table.ledger,
    dataCentre: data_centre,
    logLevel: log_level,
    dataFolder: data_folder === undefined ? undefined : resolve(folder, data_folder),
    source: source && {
      ...source,
      seeds: buildSeeds(source.seeds),
      tokenFile: source.tokenFile === undefined ? undefined : resolve(folder, source.tokenFile),
    },
  };
}

/** With `seed_port`, a seed is given by any address of its host, and all control addresses use that port. */
function buildSeed(address: Address, port: number | undefined): Address {
  if (port === undefined) return address;
  const { host } = splitAddress(address);
  return parseAddress(host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`);
}
