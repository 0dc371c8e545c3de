/** Schema parts shared by the settings sections. */
import { z } from 'zod';
import { buildIdSchema } from '../../edge/index.js';
import { parseAddress } from '../../ids.js';

/** An IP address with a port. */
export const addressSchema = buildIdSchema(parseAddress);

/** The path of a file or folder, relative to the folder of the settings file. */
export const pathSchema = z.string().min(1, 'expected a path');

/** Creates a schema for a time in milliseconds from `min` to `max`. The settings key must end in `_ms`. */
export function buildMillisecondsSchema(min: number, max: number) {
  const expected = `expected a whole number of milliseconds from ${min} to ${max}, without quotes`;
  return z.int(expected).min(min, expected).max(max, expected);
}

/** The replicas of a log. Their number is odd, because an even one tolerates no more failures. */
export const replicasSchema = z
  .array(addressSchema)
  .refine(
    (replicas) => REPLICA_COUNTS.includes(replicas.length),
    'expected the control addresses of 1, 3 or 5 replicas, this process included',
  );

// Internals.

const REPLICA_COUNTS = [1, 3, 5];
