/** `jujubewell trace`. */
import {readFile} from 'node:fs/promises';
import {text} from 'node:stream/consumers';
import {Command, Option} from 'clipanion';
import {fail, ok, type Result} from '../../shared/result.js';
import {OutputCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import type {Output} from '../output.js';
import {readTrace, renderTrace} from '../request-trace.js';

/** Prints the log lines of several processes about one request. */
export class TraceCommand extends OutputCommand {
  static override paths = [['trace']];

  static override usage = Command.Usage({
    category: 'Processes',
    description: 'Follow a request through the logs.',
    details: 'Reads log files of any number of processes, or standard input, and prints the lines about the request in their order. The clocks of the hosts may differ by seconds.',
    examples: [['Follow a request', '$0 trace 9c41d07be2a35f68 *.log']],
  });

  requestId = Option.String({name: 'request-id'});
  files = Option.Rest({name: 'file'});

  protected async run(): Promise<Result<Output, CommandError>> {
    const texts: string[] = [];
    try {
      texts.push(...await Promise.all(this.files.map(async file => readFile(file, 'utf8'))));
    } catch (error) {
      return fail(commandError('invalid', `a log file cannot be read (${(error as Error).message}); name readable files`));
    }

    if (this.files.length === 0) {
      texts.push(await text(this.context.stdin));
    }

    const trace = readTrace(this.requestId, texts);
    return trace.lines.length === 0
      ? fail(commandError('failed', `no line names the request ${this.requestId}; check the id, add the logs of more hosts, or look for log-lines-dropped`))
      : ok({data: trace, text: renderTrace(trace)});
  }
}
