/** Schemas of branded ids, for everything that is read from outside. */
import { z } from 'zod';

/**
 * Forms a schema of a text that `parseId` turns into a branded id. Its fault is the message of the
 * error that `parseId` throws.
 */
export function formIdSchema<T>(parseId: (text: string) => T) {
  return z.string().transform((text, context): T => {
    try {
      return parseId(text);
    } catch (error) {
      context.addIssue({ code: 'custom', message: (error as Error).message });
      return z.NEVER;
    }
  });
}
