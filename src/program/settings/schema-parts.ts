/** Parts that the schemas of all settings sections share. */
import { z } from 'zod';
import { formIdSchema } from '../../edge/index.js';
import { parseAddress } from '../../ids.js';

/** An IP number with a port, at which a process listens or reaches another one. */
export const addressSchema = formIdSchema(parseAddress);

/** The path of a file or folder; a relative one starts at the folder of the settings file. */
export const pathSchema = z.string().min(1, 'expected a path');

/** Forms a schema of a time in milliseconds; its key ends in `_ms`. */
export function formMillisecondsSchema(min: number, max: number) {
  const expected = `expected a whole number of milliseconds from ${min} to ${max}, without quotes`;
  return z.int(expected).min(min, expected).max(max, expected);
}

/** The number of replicas of a log: a quorum needs an odd number. */
export const replicasSchema = z
  .array(addressSchema)
  .refine(
    (replicas) => REPLICA_COUNTS.includes(replicas.length),
    'expected the control addresses of 1, 3 or 5 replicas, this process included',
  );

// Internals.

const REPLICA_COUNTS = [1, 3, 5];
