/** `jujubewell explain`. */
import {Command, Option} from 'clipanion';
import {ok, type Result} from '../../shared/result.js';
import {callAdmin} from '../admin.js';
import {AdminCommand} from '../command.js';
import type {CommandError} from '../error.js';
import {formatTime, type Output} from '../output.js';

const formatField = (name: string, value: unknown): string => {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return `${name}: ${name === 'at' && typeof value === 'number' ? formatTime(value) : text}`;
};

const formatExplanation = (explanation: unknown): string => typeof explanation === 'object' && explanation !== null
  ? Object.entries(explanation).map(([name, value]) => formatField(name, value)).join('\n')
  : String(explanation);

/** Explains why a request was rejected. */
export class ExplainCommand extends AdminCommand {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Explain a rejection.',
    details: 'Takes the id of the `jujubewell-explain` response header. Ask the process on the host that the first part of the id names.',
    examples: [['Explain a rejection', '$0 explain c1-2f --admin 127.0.0.1:7104']],
  });

  identifier = Option.String({name: 'id'});

  protected async run(): Promise<Result<Output, CommandError>> {
    return this.withAdmin(async address => {
      const response = await callAdmin(address, 'GET', `/explain/${encodeURIComponent(this.identifier)}`);
      return response.kind === 'ok' ? ok({data: response.value, text: formatExplanation(response.value)}) : response;
    });
  }
}
