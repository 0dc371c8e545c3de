/** The commands towards a process on the same host: `status` and `drain`. */
import type { Address } from '../../ids.js';
import { ExitCode } from '../exit-code.js';
import type { CommandInput, CommandOption, Terminal } from './command.js';
import { Command, JSON_OPTION } from './command.js';
import { formatProcessStatus } from './format-status.js';
import { sendRequest } from './http-request.js';
import { parseOperator } from './operator-client.js';

/** A command that sends one request to a process and prints the answer. */
abstract class LocalCommand extends Command {
  protected abstract readonly method: 'GET' | 'POST';
  protected abstract readonly path: string;

  override async run(input: CommandInput, terminal: Terminal): Promise<ExitCode> {
    input.checkNoArgument();
    const address = parseOperator(input.read('address'));
    const body = await this.#send(address, terminal);
    if (body === undefined) return ExitCode.unknown;
    terminal.print(input.isSet('json') ? JSON.stringify(body) : this.formatAnswer(body));
    return ExitCode.done;
  }

  /** Writes the answer for people. */
  protected abstract formatAnswer(body: unknown): string;

  // Internals.

  async #send(address: Address, terminal: Terminal): Promise<unknown> {
    try {
      const { method, path } = this;
      const sent = { address, method, path, timeoutMs: ANSWER_TIMEOUT_MS };
      const { status, text } = await sendRequest(sent);
      if (status < HTTP_ERRORS) return JSON.parse(text);
      terminal.printError(`${address} answered ${status}: ${text}`);
    } catch (error) {
      terminal.printError(`no answer from ${address}: ${(error as Error).message}`);
    }
    return undefined;
  }
}

/** Shows how a process is. */
export class StatusCommand extends LocalCommand {
  override readonly name = 'status';
  override readonly summary =
    'Shows the versions, the source and the members as a process sees them.';
  override readonly options: Readonly<Record<string, CommandOption>> = {
    address: { value: 'IP:PORT', help: 'the key "status" of the settings of the process' },
    json: JSON_OPTION,
  };
  protected override readonly method = 'GET';
  protected override readonly path = '/status';

  protected override formatAnswer(body: unknown): string {
    return formatProcessStatus(body);
  }
}

/** Begins a graceful leave. */
export class DrainCommand extends LocalCommand {
  override readonly name = 'drain';
  override readonly summary =
    'Lets a proxy refuse new work for the backend server beside it and tell the others.';
  override readonly options: Readonly<Record<string, CommandOption>> = {
    address: { value: 'IP:PORT', help: 'the key "proxy.announce" of the settings of the process' },
    json: JSON_OPTION,
  };
  protected override readonly method = 'POST';
  protected override readonly path = '/drain';

  protected override formatAnswer(): string {
    return 'draining: new work is refused as not run; stop the process when its calls have ended';
  }
}

// Internals.

const ANSWER_TIMEOUT_MS = 5_000;
const HTTP_ERRORS = 400;
