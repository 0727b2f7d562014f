//! Macros that declare types with a common set of derives.

/// Declares structs and enums that are comparable, printable and serializable.
#[macro_export]
macro_rules! value {
    ($($item:item)+) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )+
    };
}

/// Declares field-less enums that are copyable, ordered by declaration and serialized in kebab
/// case.
#[macro_export]
macro_rules! choice {
    ($($item:item)+) => {
        $(
            #[derive(
                Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(rename_all = "kebab-case")]
            $item
        )+
    };
}

/// Declares newtypes of shared immutable strings, one for each kind of name.
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $name:ident)+) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(std::sync::Arc<str>);

            impl $name {
                /// Returns the name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.into())
                }
            }

            impl From<String> for $name {
                fn from(text: String) -> Self {
                    Self(text.into())
                }
            }

            impl std::borrow::Borrow<str> for $name {
                fn borrow(&self) -> &str {
                    &self.0
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl std::fmt::Debug for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    write!(f, "{:?}", &self.0)
                }
            }
        )+
    };
}
