/** `jujubewell watch`. */
import {Command, Option} from 'clipanion';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, decodeConfiguration, type Configuration,
} from '../../objects/configuration.js';
import type {PlatformClient, WatchEvent} from '../../platform/client.js';
import {ok, type Result} from '../../shared/result.js';
import {parseCount, PlatformCommand} from '../command.js';
import type {CommandFault} from '../fault.js';
import {readHead, type Head} from '../head.js';
import {timeText, type Output} from '../output.js';
import {differenceLines, planEdit} from '../plan.js';

/** Shows changes of the configuration as they are accepted. */
export class WatchCommand extends PlatformCommand {
  static override paths = [['watch']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show changes of the configuration as they are accepted.',
    details: 'Resumes by itself when the connection breaks or falls silent. With `--output json`, prints one object per change.',
    examples: [['Wait for one change', '$0 watch --count 1']],
  });

  count = Option.String('--count', {description: 'End after this number of changes (default: run until interrupted)'});

  private previous: Configuration | undefined;

  protected async run(): Promise<Result<Output, CommandFault>> {
    const count = parseCount('--count', this.count);
    if (count.kind === 'error') {
      return count;
    }

    return this.withPlatform(async client => {
      const head = await readHead(client);
      if (head.kind === 'error') {
        return head;
      }

      this.previous = head.value.configuration;
      this.printNotes([`watching after sequence ${head.value.configuration.sequence}`]);
      return this.follow(client, head.value, count.value ?? Number.POSITIVE_INFINITY);
    });
  }

  private async follow(client: PlatformClient, head: Head, count: number): Promise<Result<Output, CommandFault>> {
    let left = count;
    let message = '';
    await new Promise<void>(resolve => {
      const watch = client.watch(CONFIGURATION_KIND, head.version ?? 0, event => {
        left -= this.printChange(event) ? 1 : 0;
        message = event.kind === 'broken' ? event.message : '';
        if (left <= 0 || event.kind === 'broken') {
          watch.close();
          resolve();
        }
      });
    });
    return message === '' ? ok({data: undefined, text: ''}) : this.resume(client, left, message);
  }

  /** Reads the state, shows what changed since the watch broke, and watches on. */
  private async resume(client: PlatformClient, count: number, message: string): Promise<Result<Output, CommandFault>> {
    this.printNotes([message]);
    const head = await readHead(client);
    if (head.kind === 'error') {
      return head;
    }

    const changed = this.printConfiguration(head.value.configuration);
    const left = changed ? count - 1 : count;
    return left <= 0 ? ok({data: undefined, text: ''}) : this.follow(client, head.value, left);
  }

  private printChange(event: WatchEvent): boolean {
    if (event.kind !== 'changed' || event.object.name !== CONFIGURATION_NAME) {
      return false;
    }

    const decoded = decodeConfiguration(event.object.value);
    if (decoded.kind === 'error') {
      this.printNotes([decoded.error.message]);
      return false;
    }

    return this.printConfiguration(decoded.value);
  }

  private printConfiguration(configuration: Configuration): boolean {
    const {sequence, author, acceptedAt, writeId} = configuration;
    if (this.previous === undefined || this.previous.writeId === writeId) {
      return false;
    }

    const lines = planEdit(this.previous, {put: configuration.objects, remove: [], prune: true}).differences.flatMap(difference => differenceLines(difference));
    this.previous = configuration;
    const data = {
      sequence, author, acceptedAt, lines,
    };
    this.context.stdout.write(this.output === 'json'
      ? `${JSON.stringify(data)}\n`
      : `${[`sequence ${sequence} by ${author} at ${timeText(acceptedAt)}`, ...lines.map(line => `  ${line}`)].join('\n')}\n`);
    return true;
  }
}
