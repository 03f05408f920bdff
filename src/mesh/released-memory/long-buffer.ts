/** Long buffers whose memory goes back to the operating system when they are collected. The allocator of the runtime keeps most of what it once gave out. */
import {Buffer} from 'node:buffer';

/** Length from which a buffer has a memory mapping of its own, in bytes. A mapping costs more processor time than the allocator. */
const MAPPED_MIN_BYTES = 1024 * 1024;

/** Resizable buffers, which the type declarations of this language level leave out. */
type ResizableBuffer = ArrayBuffer & {resizable?: boolean};
const MappedBuffer = ArrayBuffer as unknown as new (bytes: number, options: {maxByteLength: number}) => ResizableBuffer;

let mappedBytes = 0;
const mappedBuffers = new FinalizationRegistry<number>(bytes => {
  mappedBytes -= bytes;
});

/** Memory of the mapped buffers that are not collected yet, in bytes. `process.memoryUsage().arrayBuffers` does not contain it. */
export const mappedBufferBytes = (): number => mappedBytes;

/** Allocates a buffer with arbitrary content. */
export const allocateBuffer = (bytes: number): Buffer => {
  if (bytes < MAPPED_MIN_BYTES) {
    return Buffer.allocUnsafe(bytes);
  }

  // V8 maps the memory of each resizable buffer separately, and unmaps it with the buffer.
  const memory = new MappedBuffer(bytes, {maxByteLength: bytes});
  if (memory.resizable === true) {
    mappedBytes += bytes;
    mappedBuffers.register(memory, bytes);
  }

  return Buffer.from(memory, 0, bytes);
};
