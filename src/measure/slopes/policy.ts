/** Measures how the cost and size of configurations and policies grow with the number of services. */
import {Buffer} from 'node:buffer';
import {applyChange, describeChange} from '../../decisions/fleet/configuration-change.js';
import {
  decodeConfiguration, encodeConfiguration, hashObjects, type Configuration,
} from '../../objects/configuration.js';
import {compilePolicy, findTreatment} from '../../objects/policy.js';
import type {DeclaredObject} from '../../objects/schema.js';
import {checkObjects} from '../../objects/validation.js';
import type {Random} from '../../shared/random.js';
import {
  changeOneObject, createConfiguration, createObjects, serviceName,
} from './generators.js';
import {
  measureRetainedBytes, measureCall, measureSeries, measureSeriesAsync,
} from './benchmark.js';
import type {Series} from './series.js';

const SERVICE_SIZES = [10, 100, 1000, 2900];
/** Entries in the change log (`changes`) of a configuration at the target size, the most that a configuration keeps. */
export const CHANGE_LOG_LENGTH = 500;

type ConfigurationPair = {base: Configuration; next: Configuration};

const createConfigurationPair = (objects: readonly DeclaredObject[], changes = CHANGE_LOG_LENGTH): ConfigurationPair => ({
  base: createConfiguration(objects, 1, changes),
  next: createConfiguration(changeOneObject(objects, 2), 2, changes),
});

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const operationsPerRun = (services: number): number => Math.max(1, Math.ceil(300 / services));

const measureCompilation = (objects: readonly DeclaredObject[], services: number): number =>
  measureCall(operationsPerRun(services), () => {
    compilePolicy(objects);
  });

const measureLookup = (objects: readonly DeclaredObject[], services: number): number => {
  const policy = compilePolicy(objects);
  return measureCall(200_000, index => {
    findTreatment(policy, serviceName(index % services), 'POST', '/items-1/5');
  });
};

/** Cost of applying a configuration change from another member: rebuilding, hashing, and describing it for the pushes to further members. */
const measureAdoption = (objects: readonly DeclaredObject[], services: number): number => {
  const {base, next} = createConfigurationPair(objects);
  const change = describeChange(base, next);
  return measureCall(operationsPerRun(services), () => {
    const applied = applyChange(base, change);
    if (applied === undefined || hashObjects(applied.objects) !== next.hash) {
      throw new Error('the change does not give the configuration; describeChange and applyChange disagree');
    }

    describeChange(base, applied);
  });
};

const measureDecoding = (objects: readonly DeclaredObject[], services: number): number => {
  const stored = JSON.stringify(encodeConfiguration(createConfiguration(objects, 1, CHANGE_LOG_LENGTH)));
  return measureCall(operationsPerRun(services), () => {
    decodeConfiguration(JSON.parse(stored));
  });
};

const measureValidation = (objects: readonly DeclaredObject[], services: number): number =>
  measureCall(operationsPerRun(services), () => {
    checkObjects(objects);
  });

/** Serializes and parses objects, so that they share no memory, as in a process that receives them. */
const copyThroughJson = (objects: readonly DeclaredObject[]): unknown => {
  const text = JSON.stringify(objects);
  return JSON.parse(text);
};

/** Measures all series of configurations and policies. */
export const measurePolicy = async (random: Random): Promise<Series[]> => {
  const bySize = new Map(SERVICE_SIZES.map(size => [size, createObjects(size, random)]));
  const objectsOf = (size: number): DeclaredObject[] => bySize.get(size)!;
  const measureByServices = (name: string, unit: string, measure: (objects: DeclaredObject[], services: number) => number): Series =>
    measureSeries({name, unit, per: 'service'}, SERVICE_SIZES, size => measure(objectsOf(size), size));
  return [
    measureByServices('policy-compilation', 'ns', measureCompilation),
    measureByServices('policy-lookup', 'ns', measureLookup),
    measureByServices('configuration-adoption', 'ns', measureAdoption),
    measureByServices('configuration-decoding', 'ns', measureDecoding),
    measureByServices('configuration-validation', 'ns', measureValidation),
    measureByServices('configuration-objects', 'objects', objects => objects.length),
    measureByServices('configuration-json', 'B', objects => jsonBytes(createConfiguration(objects, 1))),
    measureByServices('configuration-stored', 'B', objects => jsonBytes(encodeConfiguration(createConfiguration(objects, 1, CHANGE_LOG_LENGTH)))),
    measureSeries({name: 'configuration-change-json', unit: 'B', per: 'entry of the change log'}, [0, 100, 500], size => {
      const {base, next} = createConfigurationPair(objectsOf(100), size);
      return jsonBytes(describeChange(base, next));
    }),
    await measureSeriesAsync({name: 'heap-configuration', unit: 'B', per: 'service'}, SERVICE_SIZES, async size => measureRetainedBytes(() => copyThroughJson(objectsOf(size)))),
    await measureSeriesAsync({name: 'heap-configuration-by-objects', unit: 'B', per: 'object'}, SERVICE_SIZES.map(size => objectsOf(size).length), async count =>
      measureRetainedBytes(() => copyThroughJson([...bySize.values()].find(objects => objects.length === count)!))),
    await measureSeriesAsync({name: 'heap-policy', unit: 'B', per: 'service'}, SERVICE_SIZES, async size => measureRetainedBytes(() => compilePolicy(objectsOf(size)))),
  ];
};
