/** Settings: read from TOML, checked before anything is started. */
import { existsSync, readFileSync, statSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { parse, TomlError } from 'smol-toml';
import { z } from 'zod';
import type { Address, DataCentreId, HostId, RegionId } from '../ids.js';
import { parseAddress, parseDataCentreId, parseHostId, parseRegionId } from '../ids.js';

/** Thrown when settings cannot be used; the message lists each fault with file, key and remedy. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/** Checked settings of one process. Paths are absolute. */
export interface Settings {
  readonly host: HostId;
  readonly region: RegionId;
  readonly dataCentre: DataCentreId;
  readonly roles: readonly Role[];
  /** The address at which this process listens for links of other processes. */
  readonly control: Address;
  readonly logLevel: LogLevel;
  readonly dataFolder: string | undefined;
  readonly proxy: ProxySettings | undefined;
  readonly source: SourceSettings | undefined;
}

/** What a process does. */
export type Role = 'proxy' | 'source';

/** How much a process logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Settings of the proxy role. */
export interface ProxySettings {
  /** Where callers send calls. */
  readonly calls: Address;
  /** Where the backend server beside this proxy announces itself. */
  readonly announce: Address;
  /** The control addresses of the source hosts. */
  readonly sources: readonly Address[];
}

/** Settings of the source role. */
export interface SourceSettings {
  /** Where operators reach this source. */
  readonly operator: Address;
  readonly tokenFile: string;
}

/** Reads and checks a settings file. */
export function loadSettings(path: string): Settings {
  const table = readTable(path);
  const checked = settingsSchema.safeParse(table);
  if (!checked.success) {
    const lines = checked.error.issues.map((issue) => `${path}: ${describeIssue(issue)}`);
    throw new SettingsError(lines.join('\n'));
  }
  const settings = resolvePaths(checked.data, dirname(resolve(path)));
  checkRoles(settings, path);
  return settings;
}

// Internals.

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

const addressSchema = brandWith(parseAddress);

const settingsSchema = z.strictObject({
  host: brandWith(parseHostId),
  region: brandWith(parseRegionId),
  data_centre: brandWith(parseDataCentreId),
  roles: z.array(z.enum(['proxy', 'source'])).min(1),
  control: addressSchema,
  log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  data_folder: z.string().min(1).optional(),
  proxy: z
    .strictObject({
      calls: addressSchema,
      announce: addressSchema,
      sources: z.array(addressSchema).min(1),
    })
    .optional(),
  source: z.strictObject({ operator: addressSchema, token_file: z.string().min(1) }).optional(),
});

function readTable(path: string): unknown {
  try {
    return parse(readFileSync(path, 'utf8'));
  } catch (error) {
    if (error instanceof TomlError) {
      throw new SettingsError(
        `${path}: line ${error.line}, column ${error.column}: ${error.message}`,
      );
    }
    throw new SettingsError(`${path}: ${(error as Error).message}`);
  }
}

function describeIssue(issue: z.core.$ZodIssue): string {
  const key = issue.path.map(String).join('.');
  if (issue.code === 'unrecognized_keys') {
    const names = issue.keys.map((name) => (key === '' ? name : `${key}.${name}`));
    return `unknown key ${names.join(', ')}; remove it or correct its spelling`;
  }
  return `${key === '' ? 'settings' : key}: ${issue.message}`;
}

function resolvePaths(table: z.output<typeof settingsSchema>, folder: string): Settings {
  const { source } = table;
  return {
    host: table.host,
    region: table.region,
    dataCentre: table.data_centre,
    roles: table.roles,
    control: table.control,
    logLevel: table.log_level,
    dataFolder: table.data_folder === undefined ? undefined : resolve(folder, table.data_folder),
    proxy: table.proxy,
    source: source && {
      operator: source.operator,
      tokenFile: resolve(folder, source.token_file),
    },
  };
}

function checkRoles(settings: Settings, path: string): void {
  for (const role of settings.roles) {
    if (settings[role] === undefined) {
      throw new SettingsError(`${path}: ${role}: the role "${role}" needs a section [${role}]`);
    }
  }
  if (!settings.roles.includes('source')) return;
  const folder = settings.dataFolder;
  if (folder === undefined) {
    throw new SettingsError(`${path}: data_folder: the role "source" needs a folder on a disk`);
  }
  if (!existsSync(folder) || !statSync(folder).isDirectory()) {
    throw new SettingsError(`${path}: data_folder: ${folder} is no folder; create it first`);
  }
}
