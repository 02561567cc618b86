import type {
  InstanceDirectory,
  RegisteredInstance,
  StoredItem,
} from '../../src/index.js';
import {StorePrefixListener} from '../../src/index.js';
import type {MemoryStoreState} from './memory-store.js';

/** Prefix of the store keys under which instances register. */
const DIRECTORY_PREFIX = 'instances/';

/** Writes the registration of an instance into the store. */
export function storeRegistration(
  state: MemoryStoreState,
  registration: RegisteredInstance,
): void {
  state.put(DIRECTORY_PREFIX + registration.id, JSON.stringify(registration));
}

/** Applies the registrations in the store to a directory. */
export class StoredDirectoryListener extends StorePrefixListener {
  constructor(private readonly directory: InstanceDirectory) {
    super(DIRECTORY_PREFIX);
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    this.directory.replaceAll(items.map(decodeRegistration));
  }

  override onPut(item: StoredItem): void {
    this.directory.register(decodeRegistration(item));
  }

  override onDelete(key: string): void {
    this.directory.markMissing(key.slice(DIRECTORY_PREFIX.length));
  }
}

function decodeRegistration({value}: StoredItem): RegisteredInstance {
  return JSON.parse(value.toString()) as RegisteredInstance;
}
