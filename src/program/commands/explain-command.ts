/** The `explain` command. */
import type { CallExplanation } from '../../messages/index.js';
import type { CommandInput, CommandOption } from './command.js';
import { JSON_OPTION } from './command.js';
import { formatExplanation } from './format-explanation.js';
import { LocalCommand } from './local-commands.js';

/** Shows where a proxy would send a call now, and why. Nothing is sent, and no estimate changes. */
export class ExplainCommand extends LocalCommand {
  override readonly name = 'explain';
  override readonly summary =
    'Shows where a proxy would send a call now, or why it would refuse it.';
  override readonly options: Readonly<Record<string, CommandOption>> = {
    address: {
      value: 'IP:PORT',
      help: 'address of the key "status" in the settings of the process',
    },
    path: { value: 'PATH', help: 'path of the call' },
    method: { value: 'METHOD', help: 'method of the call, default GET' },
    host: { value: 'NAME', help: 'virtual host of the call' },
    caller: { value: 'NAME', help: 'caller of the call' },
    account: { value: 'NAME', help: 'client account whose key the call carries, default none' },
    json: JSON_OPTION,
  };
  protected override readonly method = 'GET';
  protected override readonly path = '/explain';

  protected override buildPath(input: CommandInput): string {
    const query = new URLSearchParams({ path: input.read('path') });
    for (const name of ['method', 'host', 'caller', 'account']) {
      const value = input.find(name);
      if (value !== undefined) query.set(name, value);
    }
    return `${this.path}?${query.toString()}`;
  }

  protected override formatAnswer(body: unknown): string {
    return formatExplanation(body as CallExplanation);
  }
}
