/** Lets long responses of the backend server be received one after the other while much memory waits to be sent on, so that the rest waits at the backend server. */

/** Long response that is being received. */
export type GatedResponse = {
  /** Whether more may be read now. If not, `onReadable` is called when it may. */
  mayRead: () => boolean;
  /** Ends the response. */
  end: () => void;
};

/** Gate for the long responses of one backend server. */
export type ResponseGate = {
  enter: (onReadable: () => void) => GatedResponse;
  /** Lets responses go on for which there is room by now; called periodically; the end of a response calls it by itself. */
  update: () => void;
};

/** Options of a gate, in bytes. */
export type ResponseGateOptions = {
  /** Memory above which responses wait. */
  waitAboveBytes: number;
  /** Memory of incomplete responses. */
  incompleteBytes: () => number;
  /** Memory of complete responses that wait to be sent to other processes. */
  unsentBytes: () => number;
  /** Memory of all buffers of the process. It includes released ones that have not been collected yet, of which many long responses leave much. */
  bufferBytes: () => number;
  /** Memory of buffers above which only one long response is received between two updates. */
  bufferBytesMax: number;
  /** Whether released memory leaves room for another long response. @default () => true */
  hasRoom?: () => boolean;
};

type Entry = {isWaiting: boolean; isAdmitted: boolean; onReadable: () => void};

/** Creates a gate without responses. */
export const createResponseGate = ({waitAboveBytes, incompleteBytes, unsentBytes, bufferBytes, bufferBytesMax, hasRoom = () => true}: ResponseGateOptions): ResponseGate => {
  /** In the order in which they became long. The first one is read whatever the others hold, so that one completes. */
  const entries = new Set<Entry>();
  let mayAdmitOne = true;

  const mayRead = (entry: Entry): boolean => {
    const unsent = unsentBytes();
    const [first] = entries;
    if (unsent > waitAboveBytes || (!entry.isAdmitted && !hasRoom())) {
      return false;
    }

    if (entry !== first) {
      return unsent + incompleteBytes() <= waitAboveBytes && bufferBytes() <= bufferBytesMax;
    }

    if (!entry.isAdmitted && !mayAdmitOne && bufferBytes() > bufferBytesMax) {
      return false;
    }

    mayAdmitOne &&= entry.isAdmitted;
    entry.isAdmitted = true;
    return true;
  };

  const resumeWaiting = (): void => {
    for (const entry of entries) {
      if (entry.isWaiting && mayRead(entry)) {
        entry.isWaiting = false;
        entry.onReadable();
      }
    }
  };

  return {
    enter(onReadable) {
      const entry: Entry = {isWaiting: false, isAdmitted: false, onReadable};
      entries.add(entry);
      return {
        mayRead() {
          entry.isWaiting = !mayRead(entry);
          return !entry.isWaiting;
        },
        end() {
          entries.delete(entry);
          if (entries.size > 0) {
            setImmediate(resumeWaiting);
          }
        },
      };
    },
    update() {
      mayAdmitOne = true;
      resumeWaiting();
    },
  };
};
