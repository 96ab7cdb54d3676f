/** Stores the replicated log in checksummed files in the data folder. */
export {LogStorage} from '@rattanspring/replicated-log';
export * from './disk-identity.js';
export {DiskSpace, type DiskSpaceOptions} from './disk-space.js';
export * from './failures.js';
export * from './file-log-storage.js';
export * from './file-system.js';
export {MemoryFileSystem} from './memory-file-system.js';
export * from './node-file-system.js';
export {readRecordFile, replaceRecordFile} from './record-file.js';
