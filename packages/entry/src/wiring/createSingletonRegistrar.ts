/** Registration of parts that are built once. */
import { instanceCachingFactory, type DependencyContainer } from 'tsyringe';

/** Builds a part from others of the container. */
export type Factory<Part> = (container: DependencyContainer) => Part;

/**
 * Opens the registration of parts that are built at their first use and shared afterwards.
 *
 * @param container - container of the process
 * @returns a function that registers one part under its token
 */
export const createSingletonRegistrar =
  (container: DependencyContainer) =>
  <Part>(token: symbol, build: Factory<Part>): void => {
    container.register(token, { useFactory: instanceCachingFactory(build) });
  };
