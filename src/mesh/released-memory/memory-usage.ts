/** Memory of this process by kind. */
import process from 'node:process';
import {mappedBufferBytes} from './long-buffer.js';
import type {MemoryUsage} from './released-memory.js';

/** Measures the memory of buffers and objects of this process. */
export const measureMemoryUsage = (): MemoryUsage => {
  const {arrayBuffers, heapUsed} = process.memoryUsage();
  return {bufferBytes: arrayBuffers + mappedBufferBytes(), objectBytes: heapUsed};
};
