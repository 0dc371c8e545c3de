/** The section `[traces]`. */
import { z } from 'zod';

/** Settings of the traces. */
export interface TracesSettings {
  /** Where spans are exported to by OTLP over HTTP; nothing is exported without it. */
  readonly otlpUrl: string | undefined;
}

/** Checks the section `[traces]`. */
export const tracesSchema = z
  .strictObject({
    otlp_url: z
      .url({
        protocol: /^https?$/,
        error: 'expected a URL such as "http://10.0.0.9:4318/v1/traces"',
      })
      .optional(),
  })
  .transform(({ otlp_url }): TracesSettings => ({ otlpUrl: otlp_url }));
