/** The commands for a process on the same host: `status` and `drain`. */
import type { Address } from '../../ids.js';
import { ExitCode } from '../exit-code.js';
import type { CommandInput, CommandOption, Terminal } from './command.js';
import { Command, JSON_OPTION } from './command.js';
import { formatProcessStatus } from './format-status.js';
import { sendRequest } from './http-request.js';
import { parseAddressOption } from './operator-client.js';

/** A command that sends one request to a process and prints the answer. */
export abstract class LocalCommand extends Command {
  protected abstract readonly method: 'GET' | 'POST';
  protected abstract readonly path: string;

  override async run(input: CommandInput, terminal: Terminal): Promise<ExitCode> {
    input.checkNoArguments();
    const address = parseAddressOption(input.read('address'));
    const body = await this.#send(address, this.buildPath(input), terminal);
    if (body === undefined) return ExitCode.unknown;
    terminal.print(input.isSet('json') ? JSON.stringify(body) : this.formatAnswer(body));
    return ExitCode.done;
  }

  /** Builds the path of the request with its query. */
  protected buildPath(_input: CommandInput): string {
    return this.path;
  }

  /** Formats the answer as text. */
  protected abstract formatAnswer(body: unknown): string;

  // Internals.

  async #send(address: Address, path: string, terminal: Terminal): Promise<unknown> {
    try {
      const { method } = this;
      const sent = { address, method, path, timeoutMs: ANSWER_TIMEOUT_MS };
      const { status, text } = await sendRequest(sent);
      if (status < MIN_ERROR_STATUS) return JSON.parse(text);
      terminal.printError(`${address} answered ${status}: ${text}`);
    } catch (error) {
      terminal.printError(`no answer from ${address}: ${(error as Error).message}`);
    }
    return undefined;
  }
}

/** Shows the status of a process. */
export class StatusCommand extends LocalCommand {
  override readonly name = 'status';
  override readonly summary =
    'Shows the versions, the source and the members from the view of a process.';
  override readonly options: Readonly<Record<string, CommandOption>> = {
    address: {
      value: 'IP:PORT',
      help: 'address of the key "status" in the settings of the process',
    },
    json: JSON_OPTION,
  };
  protected override readonly method = 'GET';
  protected override readonly path = '/status';

  protected override formatAnswer(body: unknown): string {
    return formatProcessStatus(body);
  }
}

/** Drains the local backend server of a proxy. */
export class DrainCommand extends LocalCommand {
  override readonly name = 'drain';
  override readonly summary =
    'Makes a proxy refuse new work for its local backend server and inform the other members.';
  override readonly options: Readonly<Record<string, CommandOption>> = {
    address: {
      value: 'IP:PORT',
      help: 'address of the key "proxy.announce" in the settings of the process',
    },
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
const MIN_ERROR_STATUS = 400;
