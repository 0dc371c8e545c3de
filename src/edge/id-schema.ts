/** Schemas that parse branded ids from external input. */
import { z } from 'zod';

/**
 * Builds a schema of a string that `parseId` parses into a branded id. An error thrown by `parseId` becomes
 * a validation issue with the same message.
 */
export function buildIdSchema<T>(parseId: (text: string) => T) {
  return z.string().transform((text, context): T => {
    try {
      return parseId(text);
    } catch (error) {
      context.addIssue({ code: 'custom', message: (error as Error).message });
      return z.NEVER;
    }
  });
}
