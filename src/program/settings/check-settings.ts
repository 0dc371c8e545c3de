/** Checks of settings that involve several keys or the file system. Nothing is written. */
import { accessSync, constants, readFileSync, statSync } from 'node:fs';
import type { Address } from '../../ids.js';
import { splitAddress } from '../../ids.js';
import type { Role, Settings } from '../settings.js';
import type { SettingsFault } from './settings-fault.js';

/** Returns the faults of settings whose keys are valid on their own. */
export function checkSettings(settings: Settings): SettingsFault[] {
  return [
    ...checkRoles(settings),
    ...checkReplicas(settings),
    ...checkAddresses(settings),
    ...checkDataFolder(settings),
    ...checkToken(settings),
  ];
}

// Internals.

const ROLES: readonly Role[] = ['proxy', 'source', 'ledger'];
const DISK_ROLES: readonly Role[] = ['source', 'ledger'];
const WILDCARDS = new Set(['0.0.0.0', '::']);

/** An address at which this process listens, with its settings key. */
interface Listener {
  readonly key: string;
  readonly address: Address;
}

function checkRoles(settings: Settings): SettingsFault[] {
  const faults: SettingsFault[] = [];
  for (const role of ROLES) {
    const count = settings.roles.filter((one) => one === role).length;
    const section = settings[role];
    if (count > 1) faults.push({ key: 'roles', expected: `"${role}" stands ${count} times` });
    if (count > 0 && section === undefined) {
      faults.push({ key: role, expected: `the role "${role}" needs a section [${role}]` });
    }
    if (count === 0 && section !== undefined) {
      const expected = `the section [${role}] needs "${role}" among the roles; add it or remove the section`;
      faults.push({ key: role, expected });
    }
  }
  return faults;
}

function checkReplicas(settings: Settings): SettingsFault[] {
  const faults: SettingsFault[] = [];
  for (const role of ['source', 'ledger'] as const) {
    const replicas = settings[role]?.replicas ?? [];
    const key = `${role}.replicas`;
    if (new Set(replicas).size < replicas.length) {
      faults.push({ key, expected: 'each address once' });
    }
    if (replicas.length > 0 && !replicas.includes(settings.control)) {
      faults.push({ key, expected: `this process too, by its control ${settings.control}` });
    }
  }
  return faults;
}

function checkAddresses(settings: Settings): SettingsFault[] {
  const faults: SettingsFault[] = [];
  if (WILDCARDS.has(splitAddress(settings.control).host)) {
    faults.push({ key: 'control', expected: 'an IP number that other hosts can reach' });
  }
  const listeners = listListeners(settings);
  listeners.forEach((listener, index) => {
    const earlier = listeners
      .slice(0, index)
      .find((one) => isOverlapping(one.address, listener.address));
    if (earlier === undefined) return;
    const expected = `an address of its own; ${listener.address} is taken by ${earlier.key}`;
    faults.push({ key: listener.key, expected });
  });
  return faults;
}

function listListeners({ control, status, proxy, source }: Settings): Listener[] {
  const listeners: { key: string; address: Address | undefined }[] = [
    { key: 'control', address: control },
    { key: 'proxy.calls', address: proxy?.calls },
    { key: 'proxy.forwards', address: proxy?.forwards },
    { key: 'proxy.ready', address: proxy?.ready },
    { key: 'proxy.announce', address: proxy?.announce },
    { key: 'source.operator', address: source?.operator },
    { key: 'status', address: status },
  ];
  return listeners.filter((one): one is Listener => one.address !== undefined);
}

function isOverlapping(left: Address, right: Address): boolean {
  const [one, other] = [splitAddress(left), splitAddress(right)];
  if (one.port !== other.port) return false;
  return one.host === other.host || WILDCARDS.has(one.host) || WILDCARDS.has(other.host);
}

function checkDataFolder({ roles, dataFolder }: Settings): SettingsFault[] {
  const role = DISK_ROLES.find((one) => roles.includes(one));
  if (role === undefined) return [];
  const key = 'data_folder';
  if (dataFolder === undefined) {
    return [{ key, expected: `the role "${role}" needs a folder on a disk` }];
  }
  try {
    if (!statSync(dataFolder).isDirectory()) {
      return [{ key, expected: `${dataFolder} is no folder; name a folder` }];
    }
    accessSync(dataFolder, constants.R_OK | constants.W_OK);
  } catch {
    return [{ key, expected: `${dataFolder} must exist and be writable; create it first` }];
  }
  return [];
}

function checkToken({ source }: Settings): SettingsFault[] {
  if (source?.tokenFile === undefined) return [];
  const key = 'source.token_file';
  try {
    if (readFileSync(source.tokenFile, 'utf8').trim() !== '') return [];
    return [{ key, expected: `${source.tokenFile} is empty; write a secret into it` }];
  } catch {
    return [{ key, expected: `${source.tokenFile} cannot be read; write a secret into it` }];
  }
}
