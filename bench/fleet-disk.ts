/** The disk of a simulated host, with the records of its log. */
import type { LogRecord, LogWrite } from '../src/log/index.js';
import type { Random } from '../src/random.js';

/** Holds synced records. What is written at the moment of a kill is kept in part. */
export class FleetDisk {
  records: LogRecord<string>[] = [];

  /** Adds writes that are synced. */
  append(writes: readonly LogWrite<string>[]): void {
    for (const { kind, records } of writes) {
      this.records = kind === 'rewrite' ? [...records] : [...this.records, ...records];
    }
  }

  /** Keeps a part of the writes that were not synced when their process ended. */
  appendPart(writes: readonly LogWrite<string>[], random: Random): void {
    this.append(writes.slice(0, random.nextInt(writes.length + 1)));
  }
}
