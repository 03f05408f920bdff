/** Reads objects from files, directories and standard input. */
import {readdir, readFile, stat} from 'node:fs/promises';
import path from 'node:path';
import type {Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import {formatDiagnostic} from '../objects/diagnostic.js';
import {getProperty} from '../objects/json-schema.js';
import type {DeclaredObject} from '../objects/schema.js';
import {parseObject} from '../objects/parse-object.js';
import {fail, ok, type Result} from '../shared/result.js';
import {commandError, type CommandError} from './error.js';

/** Objects as found in files, not yet validated, and the sequence of the configuration that they were read from, if a file states it. */
export type ObjectInput = {objects: unknown[]; baseSequence: number | undefined};

type InputSource = {name: string; content: string};

const listFiles = async (name: string): Promise<string[]> => {
  const status = await stat(name);
  if (!status.isDirectory()) {
    return [name];
  }

  const entries = await readdir(name);
  return entries.filter(entry => entry.endsWith('.json')).sort().map(entry => path.join(name, entry));
};

const readSources = async (name: string, stdin: Readable): Promise<InputSource[]> => {
  if (name === '-') {
    return [{name: 'standard input', content: await text(stdin)}];
  }

  const files = await listFiles(name);
  return Promise.all(files.map(async file => ({name: file, content: await readFile(file, 'utf8')})));
};

/** Parses objects; on failure, the error lists everything that their schemas do not allow. References to other objects are not checked. */
export const parseObjects = (objects: readonly unknown[]): Result<DeclaredObject[], CommandError> => {
  const parsed = objects.map((object, position) => parseObject(object, position));
  const diagnostics = parsed.flatMap(result => result.kind === 'error' ? result.error : []);
  return diagnostics.length > 0
    ? fail(commandError('invalid', `${diagnostics.length} error(s) in the given objects`, diagnostics.map(diagnostic => formatDiagnostic(diagnostic))))
    : ok(parsed.flatMap(result => result.kind === 'ok' ? [result.value] : []));
};

const parseSource = ({content}: InputSource): ObjectInput => {
  const value: unknown = JSON.parse(content);
  const objects = getProperty(value, 'objects');
  const sequence = getProperty(value, 'baseSequence');
  if (Array.isArray(objects)) {
    return {objects, baseSequence: typeof sequence === 'number' ? sequence : undefined};
  }

  return {objects: Array.isArray(value) ? value : [value], baseSequence: undefined};
};

const parseSources = (sources: readonly InputSource[]): Result<ObjectInput, CommandError> => {
  const inputs: ObjectInput[] = [];
  for (const source of sources) {
    try {
      inputs.push(parseSource(source));
    } catch (error) {
      return fail(commandError('invalid', `${source.name} is not JSON (${(error as Error).message}); give an object, a list of objects, or the output of \`jujubewell get --output json\``));
    }
  }

  // The oldest base is the one at which all of the objects are known to have been read.
  const bases = inputs.flatMap(({baseSequence}) => baseSequence === undefined ? [] : [baseSequence]);
  return ok({
    objects: inputs.flatMap(({objects}) => objects),
    baseSequence: bases.length === 0 ? undefined : Math.min(...bases),
  });
};

/** Reads JSON files; a directory stands for its `.json` files and `-` for standard input. */
export const readInput = async (names: readonly string[], stdin: Readable): Promise<Result<ObjectInput, CommandError>> => {
  if (names.length === 0) {
    return fail(commandError('invalid', 'no file is given; use `-f FILE`'));
  }

  try {
    const sources = await Promise.all(names.map(async name => readSources(name, stdin)));
    return parseSources(sources.flat());
  } catch (error) {
    return fail(commandError('invalid', `cannot read the files (${(error as Error).message}); check the names`));
  }
};
