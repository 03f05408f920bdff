/** Slopes of configurations and policies. */
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
  measureBytes, measureCall, measureSizes, measureSizesLater,
} from './meter.js';
import type {Series} from './series.js';

const SERVICE_SIZES = [10, 100, 1000, 2900];
/** Entries of the log of changes that a configuration carries at the target. */
export const CHANGE_LOG_LENGTH = 500;

type Pair = {base: Configuration; next: Configuration};

const createPair = (objects: readonly DeclaredObject[], changes = CHANGE_LOG_LENGTH): Pair => ({
  base: createConfiguration(objects, 1, changes),
  next: createConfiguration(changeOneObject(objects, 2), 2, changes),
});

const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

const slowly = (services: number): number => Math.max(1, Math.ceil(300 / services));

const measureCompilation = (objects: readonly DeclaredObject[], services: number): number =>
  measureCall(slowly(services), () => {
    compilePolicy(objects);
  });

const measureLookup = (objects: readonly DeclaredObject[], services: number): number => {
  const policy = compilePolicy(objects);
  return measureCall(200_000, index => {
    findTreatment(policy, serviceName(index % services), 'POST', '/items-1/5');
  });
};

/** Cost of taking a change from another member: rebuilding, hashing, and describing it for the pushes. */
const measureAdoption = (objects: readonly DeclaredObject[], services: number): number => {
  const {base, next} = createPair(objects);
  const change = describeChange(base, next);
  return measureCall(slowly(services), () => {
    const applied = applyChange(base, change);
    if (applied === undefined || hashObjects(applied.objects) !== next.hash) {
      throw new Error('the change does not give the configuration; describeChange and applyChange disagree');
    }

    describeChange(base, applied);
  });
};

const measureDecoding = (objects: readonly DeclaredObject[], services: number): number => {
  const stored = JSON.stringify(encodeConfiguration(createConfiguration(objects, 1, CHANGE_LOG_LENGTH)));
  return measureCall(slowly(services), () => {
    decodeConfiguration(JSON.parse(stored));
  });
};

const measureValidation = (objects: readonly DeclaredObject[], services: number): number =>
  measureCall(slowly(services), () => {
    checkObjects(objects);
  });

/** Copies objects by way of JSON, as a process receives them. */
const parseObjects = (objects: readonly DeclaredObject[]): unknown => {
  const text = JSON.stringify(objects);
  return JSON.parse(text);
};

/** Measures configurations and policies. */
export const measurePolicy = async (random: Random): Promise<Series[]> => {
  const bySize = new Map(SERVICE_SIZES.map(size => [size, createObjects(size, random)]));
  const objectsOf = (size: number): DeclaredObject[] => bySize.get(size)!;
  const sizes = (name: string, unit: string, measure: (objects: DeclaredObject[], services: number) => number): Series =>
    measureSizes({name, unit, per: 'service'}, SERVICE_SIZES, size => measure(objectsOf(size), size));
  return [
    sizes('policy-compilation', 'ns', measureCompilation),
    sizes('policy-lookup', 'ns', measureLookup),
    sizes('configuration-adoption', 'ns', measureAdoption),
    sizes('configuration-decoding', 'ns', measureDecoding),
    sizes('configuration-validation', 'ns', measureValidation),
    sizes('configuration-objects', 'objects', objects => objects.length),
    sizes('configuration-json', 'B', objects => jsonBytes(createConfiguration(objects, 1))),
    sizes('configuration-stored', 'B', objects => jsonBytes(encodeConfiguration(createConfiguration(objects, 1, CHANGE_LOG_LENGTH)))),
    measureSizes({name: 'configuration-change-json', unit: 'B', per: 'entry of the change log'}, [0, 100, 500], size => {
      const {base, next} = createPair(objectsOf(100), size);
      return jsonBytes(describeChange(base, next));
    }),
    await measureSizesLater({name: 'heap-configuration', unit: 'B', per: 'service'}, SERVICE_SIZES, async size => measureBytes(() => parseObjects(objectsOf(size)))),
    await measureSizesLater({name: 'heap-configuration-by-objects', unit: 'B', per: 'object'}, SERVICE_SIZES.map(size => objectsOf(size).length), async count =>
      measureBytes(() => parseObjects([...bySize.values()].find(objects => objects.length === count)!))),
    await measureSizesLater({name: 'heap-policy', unit: 'B', per: 'service'}, SERVICE_SIZES, async size => measureBytes(() => compilePolicy(objectsOf(size)))),
  ];
};
