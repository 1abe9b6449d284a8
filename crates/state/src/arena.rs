//! A generational arena: its values have small `Copy` keys that become invalid on removal.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;

/// Key of a value in an [`Arena`].
pub struct Key<T> {
    index: u32,
    generation: u32,
    value: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}v{}", self.index, self.generation)
    }
}

impl<T> Eq for Key<T> {}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index.hash(state);
        self.generation.hash(state);
    }
}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Key<T> {
    /// Returns the index of the value, which is reused after a removal.
    pub fn index(self) -> u32 {
        self.index
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Stores values in one vector and reuses the slots of removed ones.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    free: Vec<u32>,
    slots: Vec<Slot<T>>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            free: Vec::new(),
            slots: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Returns the value under `key`, unless it was removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.value.as_ref())
            .flatten()
    }

    /// Returns the value under `key` mutably, unless it was removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        (slot.generation == key.generation)
            .then_some(slot.value.as_mut())
            .flatten()
    }

    /// Stores `value` and returns its key.
    ///
    /// # Panics
    ///
    /// Panics when the arena already holds `u32::MAX` values.
    pub fn insert(&mut self, value: T) -> Key<T> {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return Self::key(index, slot.generation);
        }
        let index = u32::try_from(self.slots.len()).expect("arena holds fewer than 2^32 values");
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        Self::key(index, 0)
    }

    /// Iterates over the keys and values in order of index.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let value = slot.value.as_ref()?;
            Some((Self::key(index as u32, slot.generation), value))
        })
    }

    /// Returns how many values are stored.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns the value under `key`, which stays invalid from then on.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    fn key(index: u32, generation: u32) -> Key<T> {
        Key {
            index,
            generation,
            value: PhantomData,
        }
    }
}
