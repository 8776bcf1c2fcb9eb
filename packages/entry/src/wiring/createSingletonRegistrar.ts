/** Registers components that are created once. */
import { instanceCachingFactory, type DependencyContainer } from 'tsyringe';

/** Creates a component from others in the container. */
export type Factory<Component> = (container: DependencyContainer) => Component;

/**
 * Creates a function that registers components. Each is created on first use and then shared.
 *
 * @param container - container of the process
 * @returns a function that registers a component under its token
 */
export const createSingletonRegistrar =
  (container: DependencyContainer) =>
  <Component>(token: symbol, factory: Factory<Component>): void => {
    container.register(token, { useFactory: instanceCachingFactory(factory) });
  };
