/** `jujubewell events`. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Command, Option} from 'clipanion';
import {getProperty} from '../../objects/json-schema.js';
import {ok, type Result} from '../../shared/result.js';
import {callAdmin} from '../admin.js';
import {AdminCommand, parseWholeNumber} from '../command.js';
import type {CommandError} from '../error.js';
import {formatTable, formatTime, type Output} from '../output.js';

const FOLLOW_INTERVAL_MS = 1000;

const eventsOf = (body: unknown): unknown[] => {
  const events = Array.isArray(body) ? body : getProperty(body, 'events');
  return Array.isArray(events) ? events : [];
};

const idOf = (event: unknown): number => {
  const id = getProperty(event, 'id');
  return typeof id === 'number' ? id : 0;
};

const formatValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value ?? '');

const rowOf = (event: unknown): string[] => {
  const at = getProperty(event, 'at');
  return [String(idOf(event)), typeof at === 'number' ? formatTime(at) : formatValue(at), formatValue(getProperty(event, 'kind')), formatValue(getProperty(event, 'cause'))];
};

/** Shows the automatic actions of a process with their causes. */
export class EventsCommand extends AdminCommand {
  static override paths = [['events']];

  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Show the automatic actions of a process with their causes.',
    examples: [
      ['Show the events after id 120', '$0 events --admin 127.0.0.1:7104 --after 120'],
      ['Show events as they happen', '$0 events --admin 127.0.0.1:7104 --follow'],
    ],
  });

  after = Option.String('--after', {description: 'Show only later events than this id'});
  follow = Option.Boolean('--follow', false, {description: 'Keep asking for new events until interrupted'});

  protected async run(): Promise<Result<Output, CommandError>> {
    const after = parseWholeNumber('--after', this.after);
    return after.kind === 'error' ? after : this.withAdmin(async address => this.printEvents(address, after.value ?? 0));
  }

  private async printEvents(address: string, after: number): Promise<Result<Output, CommandError>> {
    let lastId = after;
    for (;;) {
      // eslint-disable-next-line no-await-in-loop
      const response = await callAdmin(address, 'GET', `/events?after=${lastId}`);
      if (response.kind === 'error') {
        return response;
      }

      const events = eventsOf(response.value);
      lastId = Math.max(lastId, ...events.map(event => idOf(event)));
      const output = {data: events, text: formatTable(['ID', 'TIME', 'KIND', 'CAUSE'], events.map(event => rowOf(event)))};
      if (!this.follow) {
        return ok(output);
      }

      if (events.length > 0) {
        this.print(output);
      }

      await sleep(FOLLOW_INTERVAL_MS); // eslint-disable-line no-await-in-loop
    }
  }
}
