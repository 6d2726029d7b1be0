//! A map stored in a sorted vector.

use serde::{Deserialize, Serialize};

/// A map stored in a vector sorted by key: compact, ordered, and looked up by binary search.
///
/// Inserting in the middle moves all later entries. The map is therefore best for keys that grow,
/// such as task ids, and large values belong in a `Box`.
///
/// ```
/// let mut m = types::SortedMap::default();
/// m.insert(2, "b");
/// m.insert(1, "a");
/// assert_eq!(m.get(&2), Some(&"b"));
/// assert_eq!(m.keys().copied().collect::<Vec<_>>(), [1, 2]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SortedMap<K, V>(Vec<(K, V)>);

impl<K, V> Default for SortedMap<K, V> {
    fn default() -> Self {
        SortedMap(Vec::new())
    }
}

impl<K, V> SortedMap<K, V>
where
    K: Ord,
{
    fn find<Q>(&self, key: &Q) -> Result<usize, usize>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.0.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|i| &self.0[i].1)
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut<Q>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|i| &mut self.0[i].1)
    }

    /// Returns whether the map has an entry for `key`.
    pub fn contains_key<Q>(&self, key: &Q) -> bool
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).is_ok()
    }

    /// Sets the value of `key` and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.find(&key) {
            Ok(i) => Some(std::mem::replace(&mut self.0[i].1, value)),
            Err(i) => {
                self.0.insert(i, (key, value));
                None
            }
        }
    }

    /// Returns the value of `key`, after inserting the result of `f` if there is none.
    pub fn get_or_insert_with<F>(&mut self, key: K, f: F) -> &mut V
    where
        F: FnOnce() -> V,
    {
        let i = match self.find(&key) {
            Ok(i) => i,
            Err(i) => {
                self.0.insert(i, (key, f()));
                i
            }
        };
        &mut self.0[i].1
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        self.find(key).ok().map(|i| self.0.remove(i).1)
    }

    /// Returns the first entry whose key is greater than or equal to `key`.
    pub fn first_from<Q>(&self, key: &Q) -> Option<(&K, &V)>
    where
        K: std::borrow::Borrow<Q>,
        Q: Ord + ?Sized,
    {
        let i = self.find(key).unwrap_or_else(|i| i);
        self.0.get(i).map(|(k, v)| (k, v))
    }
}

impl<K, V> SortedMap<K, V> {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the map has no entries.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the entries in order of key.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> {
        self.0.iter().map(|(k, v)| (k, v))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = &K> {
        self.0.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in order of key.
    pub fn values(&self) -> impl DoubleEndedIterator<Item = &V> {
        self.0.iter().map(|(_, v)| v)
    }

    /// Iterates over mutable references to the values, in order of key.
    pub fn values_mut(&mut self) -> impl DoubleEndedIterator<Item = &mut V> {
        self.0.iter_mut().map(|(_, v)| v)
    }

    /// Removes the entries for which `f` returns false.
    pub fn retain<F>(&mut self, mut f: F)
    where
        F: FnMut(&K, &mut V) -> bool,
    {
        self.0.retain_mut(|(k, v)| f(k, v));
    }
}

impl<K, V> FromIterator<(K, V)> for SortedMap<K, V>
where
    K: Ord,
{
    fn from_iter<I>(iter: I) -> Self
    where
        I: IntoIterator<Item = (K, V)>,
    {
        let mut out = SortedMap::default();
        for (k, v) in iter {
            out.insert(k, v);
        }
        out
    }
}
